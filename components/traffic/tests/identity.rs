//! Identification of the organisation of a request.

use rstest::rstest;

use config::Snapshot;
use config::compile;
use errors::Reason;
use ids::KeyDigest;
use ids::Version;
use traffic::entry::Credential;
use traffic::entry::identify;

fn snapshot(organisations: &str) -> Snapshot {
    let text = format!(
        "services:\n  - name: slots\nroutes:\n  - {{ host: a, prefix: /open/, rank: 0, deadline_ms: 100, \
         idempotent: true, public: true, targets: [{{ service: slots }}] }}\n  - {{ host: a, prefix: /, rank: 0, \
         deadline_ms: 100, idempotent: true, targets: [{{ service: slots }}] }}\n{organisations}"
    );
    compile(&text, Version(1)).expect("the text is valid")
}

fn listed(key: &[u8]) -> String {
    let digest = KeyDigest::of(key);
    format!("organisations:\n  - {{ name: orchard, keys: ['{digest}'] }}\n")
}

/// A request that runs without a key that the configuration lists acts for an organisation that did not send it; one
/// that is refused on a public route, or for a run of an upstream, cannot be repaired by its caller.
#[rstest]
#[case::key("/", Credential::Key(KeyDigest::of(b"k")), Ok(Some("orchard")))]
#[case::unknown_key("/", Credential::Key(KeyDigest::of(b"x")), Err(Reason::UnknownKey))]
#[case::no_key("/", Credential::None, Err(Reason::UnknownKey))]
#[case::onward_call("/", Credential::Onward, Ok(None))]
#[case::public_route("/open/", Credential::None, Ok(None))]
#[case::public_route_with_key("/open/", Credential::Key(KeyDigest::of(b"k")), Ok(None))]
fn identify_credential(
    #[case] path: &str,
    #[case] credential: Credential,
    #[case] expected: Result<Option<&str>, Reason>,
) {
    let snapshot = snapshot(&listed(b"k"));
    let route = snapshot.find_route(Some("a"), "GET", path).unwrap();
    let route = snapshot.route(route).unwrap();
    let identified = identify(&snapshot, route, credential);
    assert_eq!(identified.map(|it| it.map(|it| &*it.name)), expected);
}

/// Without organisations, no request needs a key.
#[rstest]
fn identify_without_organisations() {
    let snapshot = snapshot("");
    let route = snapshot.find_route(Some("a"), "GET", "/").unwrap();
    let identified = identify(&snapshot, snapshot.route(route).unwrap(), Credential::None);
    assert!(identified.unwrap().is_none());
}
