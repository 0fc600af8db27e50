//! Findings in valid configuration texts.

use rstest::rstest;

use config::MAX_TEXT_BYTES;
use config::compile;
use config::lint;
use ids::KeyDigest;
use ids::Version;

const SERVICES: &str = "services:\n  - name: slots\n  - name: sheets\nroutes:\n";
const FIRST_ROUTE: &str = "  - { host: a, prefix: /, rank: 0, deadline_ms: 100, idempotent: true, targets: [{ service: \
     slots }, { service: sheets }] }\n";

fn messages(text: &str) -> Vec<String> {
    compile(text, Version(1)).expect("the text is valid");
    let findings = lint(text).expect("the text can be parsed");
    findings.iter().map(ToString::to_string).collect()
}

/// A finding in a text without any would make operators ignore the others.
#[rstest]
fn lint_clean() {
    let digest = KeyDigest::of(b"k");
    let organisation = format!(
        "organisations:\n  - {{ name: orchard, keys: ['{digest}'], per_second: 5, burst: 10 }}\n"
    );
    let text = format!("{SERVICES}{FIRST_ROUTE}{organisation}");
    assert_eq!(messages(&text), Vec::<String>::new());
}

/// An entry without effect, or limits that contradict each other, would only show by refused or lost requests.
#[rstest]
#[case::capital_letters(
    "host: A.example, prefix: /x/",
    "no request matches host \"A.example\""
)]
#[case::port("host: 'a:80', prefix: /x/", "no request matches host \"a:80\"")]
#[case::objective(
    "host: a, prefix: /x/, objective_ms: 200",
    "objective_ms 200 is longer"
)]
#[case::attempts(
    "host: a, prefix: /x/, attempts: 3",
    "attempts 3 on a route that is not idem"
)]
#[case::public("host: a, prefix: /x/, public: true", "public has no effect")]
fn lint_route(#[case] fields: &str, #[case] message: &str) {
    let route = format!(
        "  - {{ {fields}, rank: 0, deadline_ms: 100, idempotent: false, targets: [{{ service: slots }}] }}\n"
    );
    let found = messages(&format!("{SERVICES}{FIRST_ROUTE}{route}"));
    assert_eq!(found.len(), 1, "{found:?}");
    assert!(
        found[0].starts_with(&format!("line 6: {message}")),
        "{found:?}"
    );
}

/// A target without weight, a service without route and an organisation that nobody can act for get no requests.
#[rstest]
#[case::no_weight(
    "  - { host: a, prefix: /, rank: 0, deadline_ms: 1, idempotent: true, targets: [{ service: slots }, { service: \
     sheets, weight: 0 }] }\n",
    &["line 3: no route leads to service \"sheets\"", "line 5: service \"sheets\" gets no requests"]
)]
#[case::target_twice(
    "  - { host: a, prefix: /, rank: 0, deadline_ms: 1, idempotent: true, targets: [{ service: slots }, { service: \
     slots }, { service: sheets }] }\n",
    &["line 5: service \"slots\" is a target twice"]
)]
#[case::organisation(
    "  - { host: a, prefix: /, rank: 0, deadline_ms: 1, idempotent: true, targets: [{ service: slots }, { service: \
     sheets }] }\norganisations:\n  - { name: mill, burst: 5 }\n  - { name: dairy, per_second: 5, burst: 2 }\n  - { \
     name: inn, per_second: 0.5, burst: 0.2 }\n",
    &[
        "line 7: organisation \"mill\" has no keys",
        "line 7: burst has no effect",
        "line 8: organisation \"dairy\" has no keys",
        "line 8: burst 2 is below per_second 5",
        "line 9: organisation \"inn\" has no keys",
        "line 9: burst 0.2 lets no request pass",
    ]
)]
fn lint_unused(#[case] rest: &str, #[case] expected: &[&str]) {
    let found = messages(&format!("{SERVICES}{rest}"));
    assert_eq!(found.len(), expected.len(), "{found:?}");
    for (found, expected) in found.iter().zip(expected) {
        assert!(found.starts_with(expected), "{found}");
    }
}

/// A text that grows past a bound is refused; its operator has to know before that.
#[rstest]
fn lint_near_bound() {
    let comment = format!("# {}\n", "x".repeat(MAX_TEXT_BYTES * 95 / 100));
    let found = messages(&format!("{SERVICES}{FIRST_ROUTE}{comment}"));
    assert_eq!(found.len(), 1, "{found:?}");
    assert!(found[0].contains("of at most 900000 bytes"), "{found:?}");
}
