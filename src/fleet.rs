//! The nodes of the fleet and what each says of itself.

use std::net::SocketAddr;

use futures::StreamExt;
use futures::stream;
use serde_json::Value;
use serde_json::json;

use crate::context::Context;
use crate::http::get;
use crate::messages::warn;
use admin::MemberView;
use admin::Status;

/// Nodes that are asked at once; bounds open files and the load of the operator's machine.
const CONCURRENCY: usize = 32;

/// One node: what the others know of it, and its own status if it answered.
pub(crate) struct Node {
    pub(crate) member: MemberView,
    pub(crate) status: Result<Status, String>,
}

impl Node {
    /// Its version, if it answered.
    pub(crate) fn version(&self) -> Option<u64> {
        self.status.as_ref().ok().map(|status| status.version)
    }

    /// For programs.
    pub(crate) fn to_json(&self) -> Value {
        match &self.status {
            Ok(status) => json!({ "member": self.member, "status": status }),
            Err(error) => json!({ "member": self.member, "error": error }),
        }
    }
}

/// Asks the first node that answers; `ask` gets an admin address.
pub(crate) async fn ask_first<T, F>(
    context: &Context,
    ask: impl Fn(SocketAddr) -> F,
) -> Result<T, String>
where
    F: Future<Output = Result<T, String>>,
{
    let mut last = "no node was named; add --node ADMIN-ADDRESS".to_owned();
    for address in &context.nodes {
        match ask(*address).await {
            Ok(answer) => return Ok(answer),
            Err(error) => last = error,
        }
    }
    Err(last)
}

/// All members that a node knows.
pub(crate) async fn list_members(context: &Context) -> Result<Vec<MemberView>, String> {
    let ask = |address| async move { get::<Vec<MemberView>>(address, "/members").await };
    ask_first(context, ask).await
}

/// Whether the fleet counts on a member.
pub(crate) fn is_live(member: &MemberView) -> bool {
    matches!(member.status.as_str(), "alive" | "suspect")
}

/// Asks members for their own status, unless they are dead.
pub(crate) async fn ask_each(members: Vec<MemberView>) -> Vec<Node> {
    let nodes = stream::iter(members.into_iter().map(ask_status));
    let mut nodes: Vec<Node> = nodes.buffer_unordered(CONCURRENCY).collect().await;
    nodes.sort_by_cached_key(|node| (node.member.domain.clone(), node.member.admin.clone()));
    nodes
}

async fn ask_status(member: MemberView) -> Node {
    let status = match member.admin.parse() {
        _ if !is_live(&member) => Err("not asked".into()),
        Ok(address) => get::<Status>(address, "/status").await,
        Err(_) => Err(format!("{:?} is not an address", member.admin)),
    };
    // Another process may listen there by now.
    let status = match status {
        Ok(status) if status.node != member.node => Err("replaced by another process".into()),
        other => other,
    };
    Node { member, status }
}

/// The status of each node that was named and answers; the others are reported.
pub(crate) async fn ask_named(context: &Context) -> Vec<Status> {
    let mut answers = Vec::new();
    for address in &context.nodes {
        match get::<Status>(*address, "/status").await {
            Ok(status) => answers.push(status),
            Err(error) => warn(&format!(
                "medlarctl: {error}; its version is not considered"
            )),
        }
    }
    answers
}
