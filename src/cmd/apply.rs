//! `apply`: makes a configuration text the next accepted version.

use std::path::PathBuf;

use argh::FromArgs;
use serde_json::Value;
use serde_json::json;

use super::check::load_file;
use crate::edit_file::read_base_copy;
use crate::edit_file::write_edit_file;
use crate::fleet::query_named_nodes;
use crate::options::GlobalOptions;
use crate::output::ExitStatus;
use crate::output::OutputFormat;
use crate::output::eprint_line;
use crate::output::print_refusal;
use crate::output::print_result;
use crate::store_client::deadline_after;
use crate::store_client::open_store;
use crate::store_client::read_accepted_entry;
use crate::store_client::run_machine;
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

/// Accept a configuration text as the next version. The text must have been edited from the current
/// version. The base, the version that it was edited from, is taken from --base, or else from the first
/// line of a file that get -o wrote. Without either, the current version is taken as the base, and the
/// difference to it is shown.
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
    /// file with the configuration text
    file: PathBuf,
    #[argh(option)]
    /// version that the text was edited from; 0 for the first text
    base: Option<u64>,
    #[argh(switch)]
    /// show the difference to the current version and change nothing
    dry_run: bool,
    #[argh(option, default = "10")]
    /// seconds after which to give up (default 10)
    time_limit: u64,
}

pub(crate) async fn run(options: &GlobalOptions, args: Args) -> ExitStatus {
    let checked_file = match load_file(options, &args.file) {
        Ok(checked_file) => checked_file,
        Err(exit_status) => return exit_status,
    };
    let store = match open_store(options.store_address) {
        Ok(store) => store,
        Err(error) => return print_refusal(options.output_format, &error),
    };
    let file_base = checked_file.base.filter(|_| args.base.is_none());
    let given_base = args.base.map(|version| Base::Version {
        version: Version(version),
        digest: None,
    });
    let base = given_base.or(checked_file.base).unwrap_or(Base::Current);
    if args.dry_run {
        return print_difference(options, store.as_ref(), base, checked_file.checked.text()).await;
    }
    let statuses = query_named_nodes(options).await;
    let edit = Edit {
        checked: checked_file.checked,
        base,
        newest_in_fleet: statuses.iter().map(to_config_id).max(),
    };
    let text = edit.checked.text().to_string();
    let result = run_machine(
        store.as_ref(),
        ApplyMachine::new(edit, deadline_after(args.time_limit)),
    )
    .await;
    if base == Base::Current
        && let (Outcome::Accepted { .. }, Some(first_record)) =
            (&result.outcome, &result.first_record)
    {
        let version = first_record.version;
        eprint_line(&format!(
            "no base was given; the difference to version {version}:"
        ));
        eprint_line(unified_diff(&first_record.text, &text).trim_end());
    }
    let base_text = file_base.and_then(|base| read_base_copy(&args.file, &base));
    let exit_status = report_outcome(options, &result.outcome, base_text.as_deref(), Some(&text));
    if let Some(version) = accepted_version(&result.outcome).filter(|_| checked_file.base.is_some())
        && let Err(error) = write_edit_file(&args.file, version, &text)
    {
        let file = args.file.display();
        eprint_line(&format!(
            "{file}: the version in the first line is old now: {error}"
        ));
    }
    exit_status
}

fn to_config_id(status: &admin::Status) -> ConfigId {
    ConfigId {
        version: Version(status.version),
        // A hash that cannot be parsed becomes 0, which is taken to match no text.
        digest: Digest(u64::from_str_radix(&status.digest, 16).unwrap_or_default()),
    }
}

/// The accepted version that holds the edited text, unless a later version has replaced it.
fn accepted_version(outcome: &Outcome) -> Option<Version> {
    match outcome {
        Outcome::Accepted {
            version,
            replaced_by: None,
        }
        | Outcome::Unchanged { version } => Some(*version),
        _ => None,
    }
}

/// Prints the outcome of an edit and returns the exit status for it.
///
/// After a conflict with a concurrent edit it also prints a diff from `base_text`, the text that the
/// operator edited, to the accepted text. Without the base it prints the diff from the accepted text to
/// `text`, the result of the edit.
pub(crate) fn report_outcome(
    options: &GlobalOptions,
    outcome: &Outcome,
    base_text: Option<&str>,
    text: Option<&str>,
) -> ExitStatus {
    let (line, mut value, exit_status) = describe_outcome(outcome);
    if let Outcome::NotAccepted(Rejection::ConcurrentEdit { current, base }) = outcome {
        let version = current.version;
        let base_text = base.as_ref().map(|it| &*it.text).or(base_text);
        let (diff_title, difference) = match (base_text, text) {
            (Some(base_text), _) => (
                format!("accepted meanwhile, from what you edited to version {version}"),
                unified_diff(base_text, &current.text),
            ),
            (None, Some(text)) => (
                format!("from the accepted version {version} to your text"),
                unified_diff(&current.text, text),
            ),
            (None, None) => (String::new(), String::new()),
        };
        eprint_line(&format!("{diff_title}:\n{}", difference.trim_end()));
        eprint_line(&format!(
            "bring both together, then run: medlarctl apply --base {version} FILE"
        ));
        value["difference"] = Value::from(difference);
    }
    if exit_status == ExitStatus::Done || options.output_format == OutputFormat::Json {
        print_result(options.output_format, &line, &value);
    } else {
        eprint_line(&line);
    }
    exit_status
}

/// Line, JSON value and exit status for an outcome.
fn describe_outcome(outcome: &Outcome) -> (String, Value, ExitStatus) {
    match outcome {
        Outcome::Accepted {
            version,
            replaced_by: None,
        } => (
            format!("accepted as version {version}"),
            json!({ "outcome": "accepted", "version": version.0 }),
            ExitStatus::Done,
        ),
        Outcome::Accepted {
            version,
            replaced_by: Some(newer_version),
        } => (
            format!("accepted as version {version}; version {newer_version} has replaced it since"),
            json!({ "outcome": "accepted", "version": version.0, "replaced_by": newer_version.0 }),
            ExitStatus::Done,
        ),
        Outcome::Unchanged { version } => (
            format!("accepted as version {version} before; nothing to change"),
            json!({ "outcome": "accepted", "version": version.0, "changed": false }),
            ExitStatus::Done,
        ),
        Outcome::NotAccepted(rejection) => (
            format!("not accepted: {rejection}"),
            json!({ "outcome": "not accepted", "reason": rejection.to_string() }),
            ExitStatus::Refused,
        ),
        Outcome::Unknown { edit_id, message } => (
            format!("unknown: run medlarctl settle {edit_id} ({message})"),
            json!({ "outcome": "unknown", "edit": edit_id.to_string(), "reason": message }),
            ExitStatus::OutcomeUnknown,
        ),
    }
}

/// Prints the diff from the accepted text to `text`, and warns if the base is another version.
async fn print_difference(
    options: &GlobalOptions,
    store: &dyn Store,
    base: Base,
    text: &str,
) -> ExitStatus {
    let current = match read_accepted_entry(store).await {
        Ok(entry) => entry.map(|it| it.record),
        Err(error) => return print_refusal(options.output_format, &error),
    };
    let version = current.as_ref().map_or(Version::NONE, |it| it.version);
    if let Base::Version { version: base, .. } = base
        && base != version
    {
        eprint_line(&format!(
            "the edit is of version {base}, but version {version} is accepted"
        ));
    }
    let current_text = current.as_ref().map_or("", |it| &it.text);
    let difference = unified_diff(current_text, text);
    let line = if difference.is_empty() {
        format!("no difference to version {version}")
    } else {
        format!(
            "difference to version {version}:\n{}",
            difference.trim_end()
        )
    };
    let value = json!({ "version": version.0, "difference": difference });
    print_result(options.output_format, &line, &value);
    ExitStatus::Done
}
