//! Decoding of the messages by which nodes compare their member tables.

mod support;

use std::sync::Arc;

use rstest::rstest;
use support::member;

use ids::NodeId;
use member::ConfigId;
use wire::sync;

/// Checks that a member which is out of range costs that member alone. It made each comparison with the node that
/// holds it fail, so that the tables never became equal.
#[rstest]
fn into_message_odd_member() {
    let members = [member(1, 7_660), member(2, 0), member(3, 7_660)];
    let members: Vec<_> = members.into_iter().map(Arc::new).collect();
    let request = member::SyncRequest::Members {
        buckets: 7,
        members: members.clone(),
    };
    let decoded = sync::SyncRequest::from(&request).into_request();
    let decoded = decoded.expect("the request is valid");
    let member::SyncRequest::Members { members: kept, .. } = decoded.message else {
        panic!("the request has members");
    };
    assert_eq!((kept.len(), decoded.malformed), (2, 1));
    let response = member::SyncResponse {
        from: NodeId(9),
        config_id: ConfigId::default(),
        body: member::SyncResponseBody::Members(members),
    };
    let decoded = sync::SyncResponse::from(&response).into_response();
    let decoded = decoded.expect("the response is valid");
    let member::SyncResponseBody::Members(kept) = decoded.message.body else {
        panic!("the response has members");
    };
    assert_eq!((kept.len(), decoded.malformed), (2, 1));
}
