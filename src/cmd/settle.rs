//! `settle`: determines the outcome of an edit whose outcome was unknown.

use argh::FromArgs;

use super::apply::report_outcome;
use crate::fleet::query_named_nodes;
use crate::options::GlobalOptions;
use crate::output::ExitStatus;
use crate::output::print_refusal;
use crate::store_client::deadline_after;
use crate::store_client::open_store;
use crate::store_client::run_machine;
use accept::EditId;
use accept::Outcome;
use accept::SettleMachine;

/// Determine the outcome of an edit that apply reported as unknown. If its write has not taken effect,
/// it is prevented from doing so later.
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

pub(crate) async fn run(options: &GlobalOptions, args: &Args) -> ExitStatus {
    let digest = args.edit.digest.to_string();
    let statuses = query_named_nodes(options).await;
    // A node that has the text of the edit in force proves that the edit was accepted, regardless of
    // what the store holds now.
    let has_edit = |it: &&admin::Status| it.version == args.edit.version.0 && it.digest == digest;
    if statuses.iter().find(has_edit).is_some() {
        let outcome = Outcome::Accepted {
            version: args.edit.version,
            replaced_by: None,
        };
        return report_outcome(options, &outcome, None, None);
    }
    let store = match open_store(options.store_address) {
        Ok(store) => store,
        Err(error) => return print_refusal(options.output_format, &error),
    };
    let machine = SettleMachine::new(args.edit, deadline_after(args.time_limit));
    let result = run_machine(store.as_ref(), machine).await;
    report_outcome(options, &result.outcome, None, None)
}
