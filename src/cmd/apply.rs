//! `apply`: accepts a text as the next version.

use std::path::PathBuf;

use argh::FromArgs;
use serde_json::Value;
use serde_json::json;

use super::check::load;
use crate::base::read_copy;
use crate::base::write_file;
use crate::context::Context;
use crate::fleet::ask_named;
use crate::messages::End;
use crate::messages::Output;
use crate::messages::refused;
use crate::messages::tell;
use crate::messages::warn;
use crate::stock::drive;
use crate::stock::limit;
use crate::stock::open_store;
use crate::stock::read_entry;
use accept::ApplyMachine;
use accept::Base;
use accept::Edit;
use accept::Outcome;
use accept::Rejection;
use config::unified_diff;
use ids::Digest;
use ids::Version;
use member::ConfigId;
use store::Store;

/// Accept a configuration text as the next version. The text must have been edited from the version
/// that is accepted now; the base is --base, or the first line of a file that get -o wrote, or else
/// the present version, and then the difference to it is shown.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "apply",
    note = "Prints one of: accepted as version N (exit code 0), not accepted: REASON (1), unknown: run medlarctl settle EDIT-ID (3). Repeating it is safe.",
    example = "$ medlarctl get -o mesh.yaml\n$ vi mesh.yaml\n$ medlarctl apply --dry-run mesh.yaml\n$ medlarctl --node 127.33.0.1:7003 apply mesh.yaml\naccepted as version 8"
)]
pub(crate) struct Args {
    #[argh(positional)]
    /// file with the text
    file: PathBuf,
    #[argh(option)]
    /// version that was edited; 0 for the first text
    base: Option<u64>,
    #[argh(switch)]
    /// show the difference to the present version and change nothing
    dry_run: bool,
    #[argh(option, default = "10")]
    /// seconds after which to give up (default 10)
    time_limit: u64,
}

pub(crate) async fn run(context: &Context, args: Args) -> End {
    let loaded = match load(context, &args.file) {
        Ok(loaded) => loaded,
        Err(end) => return end,
    };
    let store = match open_store(context.store) {
        Ok(store) => store,
        Err(error) => return refused(context.output, &error),
    };
    let from_file = loaded.base.filter(|_| args.base.is_none());
    let written = args.base.map(|version| Base::Version {
        version: Version(version),
        digest: None,
    });
    let base = written.or(loaded.base).unwrap_or(Base::Current);
    if args.dry_run {
        return show_difference(context, store.as_ref(), base, loaded.checked.text()).await;
    }
    let statuses = ask_named(context).await;
    let edit = Edit {
        checked: loaded.checked,
        base,
        newest_in_fleet: statuses.iter().map(to_config_id).max(),
    };
    let text = edit.checked.text().to_string();
    let done = drive(
        store.as_ref(),
        ApplyMachine::new(edit, limit(args.time_limit)),
    )
    .await;
    if base == Base::Current
        && let (Outcome::Accepted { .. }, Some(first)) = (&done.outcome, &done.first)
    {
        let version = first.version;
        warn(&format!(
            "no base was given; the difference to version {version}:"
        ));
        warn(unified_diff(&first.text, &text).trim_end());
    }
    let copy = from_file.and_then(|base| read_copy(&args.file, &base));
    let end = report(context, &done.outcome, copy.as_deref(), Some(&text));
    if let Some(version) = in_force(&done.outcome).filter(|_| loaded.base.is_some())
        && let Err(error) = write_file(&args.file, version, &text)
    {
        let file = args.file.display();
        warn(&format!(
            "{file}: the version in the first line is old now: {error}"
        ));
    }
    end
}

fn to_config_id(status: &admin::Status) -> ConfigId {
    ConfigId {
        version: Version(status.version),
        // A hash that cannot be read is that of no text.
        digest: Digest(u64::from_str_radix(&status.digest, 16).unwrap_or_default()),
    }
}

/// The version that holds the edited text now.
fn in_force(outcome: &Outcome) -> Option<Version> {
    match outcome {
        Outcome::Accepted {
            version,
            replaced_by: None,
        }
        | Outcome::Unchanged { version } => Some(*version),
        _ => None,
    }
}

/// Prints what became of an edit; `copy` is the text it was made from and `text` the edited one, as
/// far as they are at hand.
pub(crate) fn report(
    context: &Context,
    outcome: &Outcome,
    copy: Option<&str>,
    text: Option<&str>,
) -> End {
    let (line, mut value, end) = describe(outcome);
    if let Outcome::NotAccepted(Rejection::ConcurrentEdit { current, base }) = outcome {
        let version = current.version;
        let copy = base.as_ref().map(|it| &*it.text).or(copy);
        let (what, difference) = match (copy, text) {
            (Some(copy), _) => (
                format!("accepted meanwhile, from what you edited to version {version}"),
                unified_diff(copy, &current.text),
            ),
            (None, Some(text)) => (
                format!("from the accepted version {version} to your text"),
                unified_diff(&current.text, text),
            ),
            (None, None) => (String::new(), String::new()),
        };
        warn(&format!("{what}:\n{}", difference.trim_end()));
        warn(&format!(
            "bring both together, then run: medlarctl apply --base {version} FILE"
        ));
        value["difference"] = Value::from(difference);
    }
    if end == End::Done || context.output == Output::Json {
        tell(context.output, &line, &value);
    } else {
        warn(&line);
    }
    end
}

fn describe(outcome: &Outcome) -> (String, Value, End) {
    match outcome {
        Outcome::Accepted {
            version,
            replaced_by: None,
        } => (
            format!("accepted as version {version}"),
            json!({ "outcome": "accepted", "version": version.0 }),
            End::Done,
        ),
        Outcome::Accepted {
            version,
            replaced_by: Some(by),
        } => (
            format!("accepted as version {version}; version {by} has replaced it since"),
            json!({ "outcome": "accepted", "version": version.0, "replaced_by": by.0 }),
            End::Done,
        ),
        Outcome::Unchanged { version } => (
            format!("accepted as version {version} before; nothing to change"),
            json!({ "outcome": "accepted", "version": version.0, "changed": false }),
            End::Done,
        ),
        Outcome::NotAccepted(cause) => (
            format!("not accepted: {cause}"),
            json!({ "outcome": "not accepted", "reason": cause.to_string() }),
            End::Refused,
        ),
        Outcome::Unknown { edit_id, message } => (
            format!("unknown: run medlarctl settle {edit_id} ({message})"),
            json!({ "outcome": "unknown", "edit": edit_id.to_string(), "reason": message }),
            End::Unknown,
        ),
    }
}

async fn show_difference(context: &Context, store: &dyn Store, base: Base, text: &str) -> End {
    let present = match read_entry(store).await {
        Ok(entry) => entry.map(|it| it.record),
        Err(failure) => return refused(context.output, &failure),
    };
    let version = present.as_ref().map_or(Version::NONE, |it| it.version);
    if let Base::Version { version: base, .. } = base
        && base != version
    {
        warn(&format!(
            "the edit is of version {base}, but version {version} is accepted"
        ));
    }
    let before = present.as_ref().map_or("", |it| &it.text);
    let difference = unified_diff(before, text);
    let line = if difference.is_empty() {
        format!("no difference to version {version}")
    } else {
        format!(
            "difference to version {version}:\n{}",
            difference.trim_end()
        )
    };
    let value = json!({ "version": version.0, "difference": difference });
    tell(context.output, &line, &value);
    End::Done
}
