//! Differences between two configurations.

use rstest::rstest;

use config::compile;
use config::list_changes;
use ids::KeyDigest;
use ids::Version;

const OLD: &str = "services:\n  - { name: slots, connections: 5 }\n  - name: sheets\nroutes:\n  - { host: a, prefix: /x/, \
     rank: 0, deadline_ms: 100, idempotent: true, targets: [{ service: slots }] }\n  - { host: a, prefix: /y/, rank: 0, \
     deadline_ms: 100, idempotent: true, targets: [{ service: sheets }] }\n";
const NEW: &str = "services:\n  - { name: slots, connections: 6 }\n  - name: sheets\nroutes:\n  - { host: a, prefix: /z/, \
     rank: 0, deadline_ms: 100, idempotent: true, targets: [{ service: slots }] }\n  - { host: a, prefix: /y/, rank: 1, \
     deadline_ms: 100, idempotent: true, targets: [{ service: sheets, weight: 1 }, { service: slots, weight: 3 }] }\n";

fn changes(old: &str, new: &str) -> Vec<String> {
    let old = compile(old, Version(1)).expect("the old text is valid");
    let new = compile(new, Version(2)).expect("the new text is valid");
    let changes = list_changes(&old, &new);
    changes.iter().map(ToString::to_string).collect()
}

/// A change that is not listed reaches the fleet unseen; one that is listed wrongly hides those that matter.
#[rstest]
fn list_changes_entries() {
    let expected = [
        "- route a /x/",
        "~ route a /y/: targets sheets (weight 1) -> sheets (weight 1) and slots (weight 3), rank 0 -> 1",
        "+ route a /z/",
        "~ service slots: connections 5 -> 6",
    ];
    assert_eq!(changes(OLD, NEW), expected);
    assert_eq!(changes(OLD, OLD), Vec::<String>::new());
}

/// A withdrawn key that is replaced by another one must show, though their number stays, and no key may be shown.
#[rstest]
fn list_changes_keys() {
    let (first, second) = (KeyDigest::of(b"first"), KeyDigest::of(b"second"));
    let with_key = |digest: KeyDigest| {
        format!("{OLD}organisations:\n  - {{ name: orchard, keys: ['{digest}'] }}\n")
    };
    let found = changes(&with_key(first), &with_key(second));
    let [first, second] = [first, second].map(|it| it.to_string());
    let expected = format!(
        "~ organisation orchard: keys {} -> {}",
        &first[..8],
        &second[..8]
    );
    assert_eq!(found, [expected]);
}
