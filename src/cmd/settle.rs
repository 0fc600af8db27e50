//! `settle`: finds out what became of an edit.

use argh::FromArgs;

use super::apply::report;
use crate::context::Context;
use crate::fleet::ask_named;
use crate::messages::End;
use crate::messages::refused;
use crate::stock::drive;
use crate::stock::limit;
use crate::stock::open_store;
use accept::EditId;
use accept::Outcome;
use accept::SettleMachine;

/// Find out what became of an edit whose outcome was unknown. If its write did not take effect, it
/// cannot do so afterwards.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "settle",
    example = "$ medlarctl settle 8-41-5c1d2a90b3e4f607-0123456789abcdef0123456789abcdef\naccepted as version 8"
)]
pub(crate) struct Args {
    #[argh(positional)]
    /// edit id that apply printed
    edit: EditId,
    #[argh(option, default = "10")]
    /// seconds after which to give up (default 10)
    time_limit: u64,
}

pub(crate) async fn run(context: &Context, args: &Args) -> End {
    let digest = args.edit.digest.to_string();
    let statuses = ask_named(context).await;
    // A node that has the edit proves it, whatever the store holds by now.
    let holds = |it: &&admin::Status| it.version == args.edit.version.0 && it.digest == digest;
    if statuses.iter().find(holds).is_some() {
        let outcome = Outcome::Accepted {
            version: args.edit.version,
            replaced_by: None,
        };
        return report(context, &outcome, None, None);
    }
    let store = match open_store(context.store) {
        Ok(store) => store,
        Err(error) => return refused(context.output, &error),
    };
    let machine = SettleMachine::new(args.edit, limit(args.time_limit));
    let done = drive(store.as_ref(), machine).await;
    report(context, &done.outcome, None, None)
}
