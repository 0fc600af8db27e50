//! Organisations in a configuration text.

use rstest::rstest;

use config::RequestLimit;
use config::Snapshot;
use config::compile;
use ids::KeyDigest;
use ids::OrganisationId;
use ids::Rank;
use ids::Version;

const KEY: &[u8] = b"orchard-key";

fn text(organisations: &str) -> String {
    format!("services:\n  - name: slots\norganisations:\n{organisations}")
}

fn compile_text(organisations: &str) -> Snapshot {
    compile(&text(organisations), Version(1)).expect("the text is valid")
}

/// A key that is compared as text, or found under another organisation, would let its holder act for that one.
#[rstest]
fn compile_organisations() {
    let digest = KeyDigest::of(KEY);
    let snapshot = compile_text(&format!(
        "  - {{ name: orchard, keys: ['{digest}'], rank: 1, per_second: 2.5, burst: 10 }}\n  - name: mill\n"
    ));
    let holder = snapshot.find_key_holder(&digest).unwrap();
    let organisation = snapshot.organisation(holder).unwrap();
    assert_eq!(&*organisation.name, "orchard");
    assert_eq!(organisation.rank, Some(Rank(1)));
    let limit = RequestLimit {
        per_second: 2.5,
        burst: 10.0,
    };
    assert_eq!(organisation.limit, Some(limit));
    let mill = snapshot.find_organisation(OrganisationId::from_name("mill"));
    let mill = snapshot.organisation(mill.unwrap()).unwrap();
    assert_eq!((mill.rank, mill.limit), (None, None));
    assert!(
        snapshot
            .find_key_holder(&KeyDigest::of(b"another"))
            .is_none()
    );
}

/// An invalid list that is accepted would refuse callers at the nodes, or give a key to two organisations. An error
/// that repeats its line would show a key that was written in place of its digest.
#[rstest]
#[case::plain_key(
    "  - { name: orchard, keys: [orchard-key] }\n",
    "line 4: the key is not given"
)]
#[case::twice(
    "  - name: orchard\n  - name: orchard\n",
    "line 5: organisation \"orchard\" is listed twice"
)]
#[case::name(
    "  - name: 'a b'\n",
    "line 4: \"a b\" is not a valid organisation name"
)]
#[case::rank("  - { name: orchard, rank: 4 }\n", "line 4: rank 4 is out of range")]
#[case::rate(
    "  - { name: orchard, per_second: -1 }\n",
    "line 4: per_second -1 is out of range"
)]
fn compile_invalid_organisation(#[case] organisations: &str, #[case] message: &str) {
    let errors = compile(&text(organisations), Version(1)).unwrap_err();
    let error = errors[0].to_string();
    assert!(error.starts_with(message), "{error}");
    assert!(!error.contains("orchard-key"), "{error}");
}

/// A key that two organisations hold must not select one of them by the order of the text.
#[rstest]
fn compile_shared_key() {
    let digest = KeyDigest::of(KEY);
    let organisations = format!(
        "  - {{ name: orchard, keys: ['{digest}'] }}\n  - {{ name: mill, keys: ['{digest}'] }}\n"
    );
    let errors = compile(&text(&organisations), Version(1)).unwrap_err();
    assert!(errors[0].to_string().contains("listed twice"), "{errors:?}");
}
