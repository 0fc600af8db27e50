//! `nodes`: lists the nodes of the fleet.

use argh::FromArgs;
use serde_json::Value;

use crate::fleet::FleetNode;
use crate::fleet::is_live;
use crate::fleet::list_members;
use crate::fleet::query_statuses;
use crate::options::GlobalOptions;
use crate::output::ExitStatus;
use crate::output::OutputFormat;
use crate::output::print_line;
use crate::output::print_refusal;
use crate::output::print_table;

/// List the nodes of the fleet with their upstreams and load.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "nodes",
    example = "$ medlarctl --node 127.33.0.1:7003 nodes"
)]
pub(crate) struct Args {}

const COLUMN_HEADERS: [&str; 9] = [
    "DOMAIN",
    "ADMIN",
    "NODE",
    "MEMBER",
    "LIFE",
    "VERSION",
    "SERVICE",
    "UPSTREAM",
    "RUNNING/QUEUED",
];

pub(crate) async fn run(options: &GlobalOptions, _: &Args) -> ExitStatus {
    let nodes = match list_members(options).await {
        Ok(members) => query_statuses(members).await,
        Err(error) => return print_refusal(options.output_format, &error),
    };
    match options.output_format {
        OutputFormat::Json => {
            print_line(&Value::from_iter(nodes.iter().map(FleetNode::to_json)).to_string())
        }
        OutputFormat::Table => print_table(
            &COLUMN_HEADERS,
            &nodes.iter().map(format_row).collect::<Vec<_>>(),
        ),
    }
    ExitStatus::Done
}

fn format_row(node: &FleetNode) -> Vec<String> {
    let member = &node.member;
    let (node_stage, version, load) = match &node.status {
        Ok(it) => (
            it.node_stage.clone(),
            it.version.to_string(),
            format!("{}/{}", it.running, it.queued),
        ),
        Err(_) if is_live(member) => ("no answer".into(), "-".into(), "-".into()),
        Err(_) => ("-".into(), "-".into(), "-".into()),
    };
    let service = if member.service.is_empty() {
        "-".to_owned()
    } else {
        member.service.clone()
    };
    vec![
        member.domain.clone(),
        member.admin.clone(),
        member.node.clone(),
        member.status.clone(),
        node_stage,
        version,
        service,
        member.state.clone(),
        load,
    ]
}
