//! Refusals of texts: each names the line, the reason and what to write instead.

use std::time::Instant;

use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::proptest;
use rstest::rstest;

use config::ConfigError;
use config::MAX_RECORD_BYTES;
use config::MAX_TEXT_BYTES;
use config::Snapshot;
use config::compile;
use config::record_size_bound;
use ids::Version;

fn refuse(text: &str) -> String {
    let faults = compile(text, Version(1)).expect_err("the text is refused");
    faults
        .iter()
        .map(ToString::to_string)
        .collect::<Vec<_>>()
        .join("\n")
}

/// A text with one service `a` and these lines for its one route.
fn with_route(lines: &str) -> String {
    format!(
        "services:\n  - name: a\n    routes:\n      - {}\n",
        lines.replace('\n', "\n        ")
    )
}

// Guards against a slip of the hand being accepted, or refused without saying what to write.
#[rstest]
#[case::unknown_field(
    "services:\n  - nam: a\n",
    "line 2: unknown field \"nam\"; did you mean \"name\"?"
)]
#[case::unknown_far(
    "services: []\nareas: []\n",
    "line 2: unknown field \"areas\"; known here: format, limits, services, routes"
)]
#[case::missing_field(
    "services:\n  - depends: []\n",
    "field \"name\" is missing; add \"name:\" with a value"
)]
#[case::dangling(
    "services:\n  - name: planta\n  - name: b\n    depends: [plant]\n",
    "line 4: service \"plant\" is not listed; did you mean \"planta\"?"
)]
#[case::circle(
    "services:\n  - {name: a, depends: [b]}\n  - {name: b, depends: [c]}\n  - {name: c, depends: [b]}\n",
    "line 3: circular dependency: b -> c -> b; remove one"
)]
#[case::own_circle(
    "services:\n  - {name: a, depends: [a]}\n",
    "line 2: circular dependency: a -> a"
)]
#[case::twice(
    "services:\n  - name: a\n  - name: a\n",
    "line 3: service \"a\" is listed twice"
)]
#[case::depends_twice(
    "services:\n  - name: b\n  - {name: a, depends: [b, b]}\n",
    "line 3: \"b\" is listed twice"
)]
#[case::name(
    "services:\n  - name: Slots\n",
    "line 2: \"Slots\" is not the name of a service; a name has"
)]
#[case::empty_name(
    "services:\n  - name: ''\n",
    "line 2: \"\" is not the name of a service"
)]
#[case::status(
    "services:\n  - {name: a, not_run_statuses: [200]}\n",
    "line 2: status 200 cannot mean"
)]
#[case::wide_status(
    "services:\n  - {name: a, not_run_statuses: [70000]}\n",
    "line 2: status 70000 cannot mean"
)]
#[case::status_twice(
    "services:\n  - {name: a, not_run_statuses: [503, 503]}\n",
    "line 2: status 503 is listed twice"
)]
#[case::control(
    "services:\n  - name: \"a\u{8}\"\n",
    "line 2: control character U+0008; remove it"
)]
#[case::bidi("services: []\n# \u{202e}\n", "line 2: control character U+202E")]
#[case::escaped_control(
    "services:\n  - name: \"a\\u0007\"\n",
    "line 2: \"a\\u{7}\" is not the name"
)]
#[case::newer(
    "format: 2\nservices: []\nsome_new_field: 1\n",
    "format 2 is newer than 1, the newest"
)]
#[case::newer_later("services: []\nformat: 7\n", "format 7 is newer than 1")]
#[case::zero_format(
    "format: 0\nservices: []\n",
    "line 1: format 0 does not exist; write \"format: 1\""
)]
#[case::two_documents("services: []\n---\nservices: []\n", "line")]
#[case::duplicate_key(
    "services: []\nservices: []\n",
    "line 2: duplicate mapping key: services"
)]
#[case::empty("", "line 1:")]
fn compile_refused(#[case] text: &str, #[case] expected: &str) {
    let message = refuse(text);
    assert!(message.contains(expected), "{message}");
}

// Guards against routes that no request could reach in time, or that no method or path can name.
#[rstest]
#[case::method(
    "method: get\npath: /\nrank: 0\ndeadline_ms: 1",
    "line 4: \"get\" is not a method of a route; did you mean \"GET\"?"
)]
#[case::connect(
    "method: CONNECT\npath: /\nrank: 0\ndeadline_ms: 1",
    "use one of DELETE, GET"
)]
#[case::rank(
    "method: GET\npath: /\nrank: 4\ndeadline_ms: 1",
    "line 6: rank 4 is out of range; use 0 to 3"
)]
#[case::huge_rank(
    "method: GET\npath: /\nrank: 300\ndeadline_ms: 1",
    "line 6: rank 300 is out of range"
)]
#[case::zero_deadline(
    "method: GET\npath: /\nrank: 0\ndeadline_ms: 0",
    "line 7: deadline_ms 0 is out of range; use 1 to 60000"
)]
#[case::huge_deadline(
    "method: GET\npath: /\nrank: 0\ndeadline_ms: 60001",
    "deadline_ms 60001 is out of range"
)]
#[case::weight(
    "method: GET\npath: /\nrank: 0\ndeadline_ms: 1\nweight: 0",
    "line 8: weight 0 is out of range; use 1 to 1000"
)]
#[case::relative(
    "method: GET\npath: a\nrank: 0\ndeadline_ms: 1",
    "line 5: a path starts with '/'"
)]
#[case::space(
    "method: GET\npath: '/a b'\nrank: 0\ndeadline_ms: 1",
    "line 5: a path has only characters of a URL"
)]
#[case::dots(
    "method: GET\npath: /a/../b\nrank: 0\ndeadline_ms: 1",
    "line 5: a path has no '.' or '..' segment"
)]
#[case::rest_inside(
    "method: GET\npath: /**/a\nrank: 0\ndeadline_ms: 1",
    "line 5: '**' stands only at the end"
)]
#[case::braces(
    "method: GET\npath: '/{}'\nrank: 0\ndeadline_ms: 1",
    "line 5: a name in braces"
)]
fn compile_route_refused(#[case] route: &str, #[case] expected: &str) {
    let message = refuse(&with_route(route));
    assert!(message.contains(expected), "{message}");
}

fn route(path: &str) -> String {
    format!("      - {{method: GET, path: '{path}', rank: 1, deadline_ms: 100}}\n")
}

fn with_paths(paths: &[&str]) -> String {
    let routes: String = paths.iter().map(|path| route(path)).collect();
    format!("services:\n  - name: a\n    routes:\n{routes}")
}

// Guards against two routes between which only their place in the text would decide.
#[rstest]
#[case::same(&["/a", "/a"])]
#[case::other_name(&["/a/{x}", "/a/{y}"])]
#[case::rest(&["/a/{x}/**", "/a/{y}/**"])]
fn compile_overlap_refused(#[case] paths: &[&str]) {
    let message = refuse(&with_paths(paths));
    assert!(message.contains("covers the same paths as"), "{message}");
    assert!(
        message.starts_with("line 5: ") && message.contains("in line 4"),
        "{message}"
    );
}

fn found<'a>(snapshot: &'a Snapshot, path: &str) -> Option<&'a str> {
    let key = snapshot.find_route(None, "GET", path)?;
    snapshot.route(key).map(|route| route.path.as_str())
}

// Guards against a general route taking the requests of a specific one, in any order of the text.
#[rstest]
#[case::literal("/a/b", Some("/a/b"))]
#[case::any("/a/c", Some("/a/{x}"))]
#[case::first_segment_decides("/a/b/c", Some("/a/b/{y}"))]
#[case::falls_back_to_any("/a/z/c", Some("/a/{x}/c"))]
#[case::falls_back_to_rest("/a/z/d", Some("/a/**"))]
#[case::rest_also_none("/a", Some("/a/**"))]
#[case::empty_segment("/a/", Some("/a/**"))]
#[case::root("/", Some("/"))]
#[case::nothing("/x", None)]
#[case::relative("a/b", None)]
fn find_route_order(#[case] path: &str, #[case] expected: Option<&str>) {
    let mut paths = ["/a/**", "/a/{x}/c", "/a/{x}", "/a/b/{y}", "/a/b", "/"];
    for _ in 0..2 {
        let snapshot = compile(&with_paths(&paths), Version(1)).expect("valid");
        assert_eq!(found(&snapshot, path), expected);
        assert_eq!(snapshot.find_route(None, "POST", path), None);
        paths.reverse();
    }
}

// Guards against texts that would exhaust memory, time or the store.
#[rstest]
#[case::too_long(format!("services: []\n{}", "#".repeat(MAX_TEXT_BYTES)), "at most 900000")]
#[case::record_too_long(format!("services: []\n{}", "#\n".repeat(400_000)), "the stored record would have")]
#[case::services(format!("services:\n{}", (0..1_001).fold(String::new(), |text, n| text + &format!("- name: s{n}\n"))), "line 1002: 1001 services; at most 1000")]
#[case::deep(format!("services: {}", "[".repeat(100_000)), "line 1")]
#[case::deep_block((0..1_000).fold("services:\n".to_owned(), |text, n| text + &" ".repeat(n) + "-\n"), "line")]
#[case::alias_bomb(alias_bomb(), "line")]
#[case::alias_fan(alias_fan(), "line")]
#[case::near_names(near_names(), "is not listed")]
#[case::nodes(format!("services: [{}]", "{},".repeat(290_000)), "line 1")]
fn compile_bounded(#[case] text: String, #[case] expected: &str) {
    let start = Instant::now();
    let message = refuse(&text);
    assert!(
        message.contains(expected),
        "{}",
        &message[..message.len().min(500)]
    );
    assert!(message.len() < 20_000, "{} bytes of message", message.len());
    assert!(start.elapsed().as_secs() < 10, "{:?}", start.elapsed());
}

/// Lists of lists that expand to ten billion entries in `depends`.
fn alias_bomb() -> String {
    let mut text =
        "services:\n- name: a\n  depends: [&a0 [x, x, x, x, x, x, x, x, x, x]".to_owned();
    for level in 1..10 {
        let inner = vec![format!("*a{}", level - 1); 10].join(", ");
        text += &format!(", &a{level} [{inner}]");
    }
    text + "]\n"
}

/// Thousands of dependencies that are nearly the names of a thousand services.
fn near_names() -> String {
    let name = |n: usize, end: &str| format!("{}-{n:04}{end}", "s".repeat(50));
    (0..1_000).fold("services:\n".to_owned(), |text, n| {
        let depends: Vec<_> = (0..13).map(|m| name((n * 13 + m) % 1_000, "x")).collect();
        text + &format!(
            "- {{name: {}, depends: [{}]}}\n",
            name(n, ""),
            depends.join(",")
        )
    })
}

/// A valid shape in which 1,000 services share one list of 1,000 routes.
fn alias_fan() -> String {
    let routes: String = (0..1_000).map(|n| route(&format!("/{n}"))).collect();
    let first = format!("services:\n  - name: a\n    routes: &r\n{routes}");
    (0..1_000).fold(first, |text, n| {
        text + &format!("  - {{name: s{n}, routes: *r}}\n")
    })
}

// Guards against a newer text being refused by its unknown fields instead of by its format.
#[test]
fn compile_newer_format() {
    let faults = compile("# head\n\nformat: 3 # later\nnew: 1\n", Version(1)).expect_err("newer");
    assert_eq!(faults, [ConfigError::NewerFormat { found: 3 }]);
    assert!(compile("format: 1\nservices: []\n", Version(1)).is_ok());
}

// Guards against a bound that the record of an accepted text exceeds.
#[test]
fn measure_record_bounds() {
    assert!(record_size_bound("") < MAX_RECORD_BYTES);
    assert_eq!(record_size_bound("\"\n") - record_size_bound(""), 4);
}

/// Texts near the language, so that more than the reader of YAML is reached.
fn near_text() -> impl Strategy<Value = String> {
    let words = [
        "services:",
        "\n  - name: a",
        "\n    depends: [",
        "a",
        "]",
        "\n    routes:",
        "\n      - ",
        "method: GET",
        "\n        path: /",
        "{x}",
        "/**",
        "\n        rank: ",
        "9",
        "&x ",
        "*x",
        "'",
        "\"",
        "format: ",
        "\n",
        ": ",
        "- ",
        "\u{0}",
        "é",
        "\\",
        "!!str ",
        "<<",
        "|",
        "{",
        "}",
        "\t",
    ];
    proptest::collection::vec(proptest::sample::select(words.to_vec()), 0..40)
        .prop_map(|words| words.concat())
}

proptest! {
    // Guards against a panic on hostile input, which would end a node.
    #[test]
    fn compile_arbitrary(text in any::<String>()) {
        let _ = compile(&text, Version(1));
    }

    #[test]
    fn compile_near(text in near_text()) {
        let _ = compile(&text, Version(1));
    }

    // Guards against a search that finds another route than the first in the order of match.
    #[test]
    fn find_route_first(
        patterns in proptest::collection::vec("(/(a|b|\\{x\\})){0,4}(/\\*\\*)?", 1..20),
        path in "(/(a|b|c|)){0,5}",
    ) {
        let mut paths: Vec<String> = patterns.into_iter().map(|it| if it.is_empty() { "/".into() } else { it }).collect();
        paths.sort_unstable();
        paths.dedup();
        let paths: Vec<&str> = paths.iter().map(String::as_str).collect();
        let snapshot = compile(&with_paths(&paths), Version(1)).expect("distinct shapes have an order");
        let matches = snapshot.list_matches("GET", &path);
        assert_eq!(snapshot.find_route(None, "GET", &path), matches.first().copied());
    }
}

/// A text of `count` routes by host, as YAML or as JSON.
fn host_routes(count: usize, json: bool) -> String {
    let routes: Vec<String> = (0..count)
        .map(|n| {
            format!(
                r#"{{"host": "a.example", "prefix": "/r{n}/", "rank": 1, "deadline_ms": 900, "idempotent": true, "targets": [{{"service": "a"}}]}}"#
            )
        })
        .collect();
    if json {
        let routes = routes.join(",\n");
        format!("{{\"services\": [{{\"name\": \"a\"}}],\n\"routes\": [\n{routes}\n]}}\n")
    } else {
        let routes = routes.join("\n  - ");
        format!("services:\n  - {{name: a}}\nroutes:\n  - {routes}\n")
    }
}

// Guards against a text in JSON that costs as much as one in YAML: changes in a row then kept nodes
// with a tenth of a core from their requests. The difference is 8 times in a release build.
#[test]
fn compile_json_time() {
    let time = |json| {
        let text = host_routes(1_500, json);
        let start = Instant::now();
        let snapshot = compile(&text, Version(1)).expect("the text is valid");
        let key = snapshot.find_route(Some("a.example"), "GET", "/r1499/x");
        assert!(key.is_some());
        start.elapsed()
    };
    // The best of some runs leaves out what other processes cost.
    let best = |json| (0..5).map(|_| time(json)).min().unwrap_or_default();
    let (yaml, json) = (best(false), best(true));
    assert!(json * 4 < yaml, "JSON {json:?}, YAML {yaml:?}");
}

// Guards against faults of a JSON text that are not found or have no line.
#[rstest]
#[case::unknown(
    "{\"services\": [],\n\"areas\": []}",
    "line 2: unknown field \"areas\""
)]
#[case::not_listed(
    "{\"services\": [{\"name\": \"a\",\n\"depends\": [\"b\"]}]}",
    "line 2: service \"b\" is not listed"
)]
#[case::newer("{\"services\": [],\n\"format\": 9}", "format 9")]
#[case::control(
    "{\"services\": [],\n\"format\": \"\u{7}\"}",
    "line 2: control character"
)]
#[case::twice("{\"services\": [],\n\"services\": []}", "line 2")]
fn compile_json_faults(#[case] text: &str, #[case] message: &str) {
    let found = refuse(text);
    assert!(found.contains(message), "{found}");
}
