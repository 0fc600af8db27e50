//! `nodes`: lists the nodes of the fleet.

use argh::FromArgs;
use serde_json::Value;

use crate::context::Context;
use crate::fleet::Node;
use crate::fleet::ask_each;
use crate::fleet::is_live;
use crate::fleet::list_members;
use crate::messages::End;
use crate::messages::Output;
use crate::messages::print_table;
use crate::messages::refused;
use crate::messages::say;

/// List the nodes of the fleet with their upstreams and load.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "nodes",
    example = "$ medlarctl --node 127.33.0.1:7003 nodes"
)]
pub(crate) struct Args {}

const HEAD: [&str; 9] = [
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

pub(crate) async fn run(context: &Context, _: &Args) -> End {
    let nodes = match list_members(context).await {
        Ok(members) => ask_each(members).await,
        Err(error) => return refused(context.output, &error),
    };
    match context.output {
        Output::Json => say(&Value::from_iter(nodes.iter().map(Node::to_json)).to_string()),
        Output::Table => print_table(&HEAD, &nodes.iter().map(describe).collect::<Vec<_>>()),
    }
    End::Done
}

fn describe(node: &Node) -> Vec<String> {
    let member = &node.member;
    let (life, version, load) = match &node.status {
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
        life,
        version,
        service,
        member.state.clone(),
        load,
    ]
}
