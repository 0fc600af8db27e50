//! Rank and weight of requests by route and organisation.

use rstest::rstest;

use config::compile;
use ids::KeyDigest;
use ids::OrganisationId;
use ids::Rank;
use ids::Version;
use traffic::Precedence;

/// Guards against a route that goes before a more urgent organisation, against calls of upstreams that wait
/// behind all organisations, and against organisations whose shares do not follow their rates.
#[rstest]
#[case::urgent(Some("urgent"), 0, 600)]
#[case::other(Some("other"), 6, 200)]
#[case::no_rate(Some("free"), 6, 400)]
#[case::no_rank(Some("plain"), 2, 400)]
#[case::no_organisation(None, 2, 400)]
fn find_organisation(#[case] name: Option<&str>, #[case] rank: u8, #[case] weight: u32) {
    let organisation = |name: &str, rest: &str| {
        let digest = KeyDigest::of(name.as_bytes());
        format!("  - {{ name: {name}, keys: ['{digest}']{rest} }}\n")
    };
    let text = format!(
        "services:\n  - name: slots\nroutes:\n  - {{ host: a, prefix: /, rank: {}, deadline_ms: 100, weight: 4, \
         idempotent: true, targets: [{{ service: slots }}] }}\norganisations:\n{}{}{}{}",
        if rank == 0 { 0 } else { 2 },
        organisation("urgent", ", rank: 0, per_second: 30, burst: 5"),
        organisation("other", ", rank: 1, per_second: 10, burst: 5"),
        organisation("free", ", rank: 1"),
        organisation("plain", ""),
    );
    let snapshot = compile(&text, Version(1)).expect("the text is valid");
    let route = snapshot.find_route(Some("a"), "GET", "/");
    let route = route.and_then(|it| snapshot.route(it));
    let route = route.expect("the route is listed");
    let found = Precedence::find(&snapshot, route, name.map(OrganisationId::from_name));
    let expected = Precedence {
        rank: Rank(rank),
        weight,
    };
    assert_eq!(found, expected);
}

/// Guards against earlier deployments whose ranks or weights change.
#[rstest]
fn find_without_organisations() {
    let text = "services:\n  - name: slots\nroutes:\n  - { host: a, prefix: /, rank: 3, deadline_ms: 100, \
                weight: 7, idempotent: true, targets: [{ service: slots }] }\n";
    let snapshot = compile(text, Version(1)).expect("the text is valid");
    let (_, route) = snapshot.routes().next().expect("the route is listed");
    let found = Precedence::find(&snapshot, route, Some(OrganisationId(1)));
    let expected = Precedence {
        rank: Rank(3),
        weight: 7,
    };
    assert_eq!(found, expected);
    let unknown = Precedence::of_unknown_route(Some(&snapshot));
    assert_eq!(unknown.rank, Rank(3));
}
