//! Members of the fleet and the status that each node reports through its admin API.

use std::net::SocketAddr;

use futures::StreamExt;
use futures::stream;
use serde_json::Value;
use serde_json::json;

use crate::admin_client::get_json;
use crate::options::GlobalOptions;
use crate::output::eprint_line;
use admin::MemberView;
use admin::Status;

/// Maximum number of nodes that are queried at the same time. Limits open files and the load on the
/// operator's machine.
const MAX_CONCURRENT_REQUESTS: usize = 32;

/// A member of the fleet as another node lists it, and the status that the member itself reports, or
/// why that is not known.
pub(crate) struct FleetNode {
    pub(crate) member: MemberView,
    pub(crate) status: Result<Status, String>,
}

impl FleetNode {
    /// Configuration version in force on the node, if the node reported its status.
    pub(crate) fn version(&self) -> Option<u64> {
        self.status.as_ref().ok().map(|status| status.version)
    }

    /// Converts the node to JSON for the output.
    pub(crate) fn to_json(&self) -> Value {
        match &self.status {
            Ok(status) => json!({ "member": self.member, "status": status }),
            Err(error) => json!({ "member": self.member, "error": error }),
        }
    }
}

/// Calls `query` with the admin address of each node named with --node in turn, and returns the first
/// successful result, or else the last error.
pub(crate) async fn query_first<T, F>(
    options: &GlobalOptions,
    query: impl Fn(SocketAddr) -> F,
) -> Result<T, String>
where
    F: Future<Output = Result<T, String>>,
{
    let mut last_error = "no node was named; add --node ADMIN-ADDRESS".to_owned();
    for address in &options.admin_addresses {
        match query(*address).await {
            Ok(response) => return Ok(response),
            Err(error) => last_error = error,
        }
    }
    Err(last_error)
}

/// Returns all members that the first responding node knows.
pub(crate) async fn list_members(options: &GlobalOptions) -> Result<Vec<MemberView>, String> {
    let query = |address| async move { get_json::<Vec<MemberView>>(address, "/members").await };
    query_first(options, query).await
}

/// Whether a member is alive or only suspected to have failed.
pub(crate) fn is_live(member: &MemberView) -> bool {
    matches!(member.status.as_str(), "alive" | "suspect")
}

/// Queries the status of all live members, and returns all members sorted by failure domain and admin
/// address.
pub(crate) async fn query_statuses(members: Vec<MemberView>) -> Vec<FleetNode> {
    let nodes = stream::iter(members.into_iter().map(query_status));
    let mut nodes: Vec<FleetNode> = nodes
        .buffer_unordered(MAX_CONCURRENT_REQUESTS)
        .collect()
        .await;
    nodes.sort_by_cached_key(|node| (node.member.domain.clone(), node.member.admin.clone()));
    nodes
}

async fn query_status(member: MemberView) -> FleetNode {
    let status = match member.admin.parse() {
        _ if !is_live(&member) => Err("not asked".into()),
        Ok(address) => get_json::<Status>(address, "/status").await,
        Err(_) => Err(format!("{:?} is not an address", member.admin)),
    };
    // Another process may have taken over the address since the member list was updated.
    let status = match status {
        Ok(status) if status.node != member.node => Err("replaced by another process".into()),
        other => other,
    };
    FleetNode { member, status }
}

/// Returns the status of each node named with --node; prints a warning for each that does not respond.
pub(crate) async fn query_named_nodes(options: &GlobalOptions) -> Vec<Status> {
    let mut statuses = Vec::new();
    for address in &options.admin_addresses {
        match get_json::<Status>(*address, "/status").await {
            Ok(status) => statuses.push(status),
            Err(error) => eprint_line(&format!(
                "medlarctl: {error}; its version is not considered"
            )),
        }
    }
    statuses
}
