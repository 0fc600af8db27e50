//! Compilation of configuration texts: errors with line, reason and hint, limits, and the lookup of
//! routes.

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

fn error_messages(text: &str) -> String {
    let errors = compile(text, Version(1)).expect_err("the text is refused");
    errors
        .iter()
        .map(ToString::to_string)
        .collect::<Vec<_>>()
        .join("\n")
}

/// A configuration with one service, whose one route has these lines.
fn text_with_route(lines: &str) -> String {
    format!(
        "services:\n  - name: a\n    routes:\n      - {}\n",
        lines.replace('\n', "\n        ")
    )
}

// Checks that a mistake in a configuration is refused with a message that says what to write
// instead.
#[rstest]
#[case::unknown_field(
    "services:\n  - nam: a\n",
    "line 2: unknown field \"nam\"; did you mean \"name\"?"
)]
#[case::unknown_field_not_similar(
    "services: []\nareas: []\n",
    "line 2: unknown field \"areas\"; known fields: format, limits, services, routes"
)]
#[case::missing_field(
    "services:\n  - depends: []\n",
    "field \"name\" is missing; add \"name:\" with a value"
)]
#[case::unknown_dependency(
    "services:\n  - name: planta\n  - name: b\n    depends: [plant]\n",
    "line 4: service \"plant\" is not listed; did you mean \"planta\"?"
)]
#[case::circular_dependency(
    "services:\n  - {name: a, depends: [b]}\n  - {name: b, depends: [c]}\n  - {name: c, depends: [b]}\n",
    "line 3: circular dependency: b -> c -> b; remove one"
)]
#[case::self_dependency(
    "services:\n  - {name: a, depends: [a]}\n",
    "line 2: circular dependency: a -> a"
)]
#[case::duplicate_service(
    "services:\n  - name: a\n  - name: a\n",
    "line 3: service \"a\" is listed twice"
)]
#[case::duplicate_dependency(
    "services:\n  - name: b\n  - {name: a, depends: [b, b]}\n",
    "line 3: \"b\" is listed twice"
)]
#[case::invalid_name(
    "services:\n  - name: Slots\n",
    "line 2: \"Slots\" is not a valid service name; use 1 to 63"
)]
#[case::empty_name(
    "services:\n  - name: ''\n",
    "line 2: \"\" is not a valid service name"
)]
#[case::success_status(
    "services:\n  - {name: a, not_run_statuses: [200]}\n",
    "line 2: status 200 cannot mean"
)]
#[case::status_above_u16(
    "services:\n  - {name: a, not_run_statuses: [70000]}\n",
    "line 2: status 70000 cannot mean"
)]
#[case::duplicate_status(
    "services:\n  - {name: a, not_run_statuses: [503, 503]}\n",
    "line 2: status 503 is listed twice"
)]
#[case::control_character(
    "services:\n  - name: \"a\u{8}\"\n",
    "line 2: control character U+0008; remove it"
)]
#[case::bidirectional_control("services: []\n# \u{202e}\n", "line 2: control character U+202E")]
#[case::escaped_control_character(
    "services:\n  - name: \"a\\u0007\"\n",
    "line 2: \"a\\u{7}\" is not a valid service name"
)]
#[case::newer_format(
    "format: 2\nservices: []\nsome_new_field: 1\n",
    "format 2 is newer than 1, the newest"
)]
#[case::newer_format_not_first("services: []\nformat: 7\n", "format 7 is newer than 1")]
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
    let message = error_messages(text);
    assert!(message.contains(expected), "{message}");
}

// Checks that a route with an invalid method, path or number is refused.
#[rstest]
#[case::lowercase_method(
    "method: get\npath: /\nrank: 0\ndeadline_ms: 1",
    "line 4: \"get\" is not a method that a route can have; did you mean \"GET\"?"
)]
#[case::connect_method(
    "method: CONNECT\npath: /\nrank: 0\ndeadline_ms: 1",
    "use one of DELETE, GET"
)]
#[case::rank_out_of_range(
    "method: GET\npath: /\nrank: 4\ndeadline_ms: 1",
    "line 6: rank 4 is out of range; use 0 to 3"
)]
#[case::rank_above_u8(
    "method: GET\npath: /\nrank: 300\ndeadline_ms: 1",
    "line 6: rank 300 is out of range"
)]
#[case::zero_deadline(
    "method: GET\npath: /\nrank: 0\ndeadline_ms: 0",
    "line 7: deadline_ms 0 is out of range; use 1 to 60000"
)]
#[case::deadline_out_of_range(
    "method: GET\npath: /\nrank: 0\ndeadline_ms: 60001",
    "deadline_ms 60001 is out of range"
)]
#[case::zero_weight(
    "method: GET\npath: /\nrank: 0\ndeadline_ms: 1\nweight: 0",
    "line 8: weight 0 is out of range; use 1 to 1000"
)]
#[case::relative_path(
    "method: GET\npath: a\nrank: 0\ndeadline_ms: 1",
    "line 5: a path must start with '/'"
)]
#[case::space_in_path(
    "method: GET\npath: '/a b'\nrank: 0\ndeadline_ms: 1",
    "line 5: a path must have only characters of a URL"
)]
#[case::dot_segment(
    "method: GET\npath: /a/../b\nrank: 0\ndeadline_ms: 1",
    "line 5: a path must have no '.' or '..' segment"
)]
#[case::catch_all_inside(
    "method: GET\npath: /**/a\nrank: 0\ndeadline_ms: 1",
    "line 5: '**' is allowed only at the end"
)]
#[case::empty_parameter_name(
    "method: GET\npath: '/{}'\nrank: 0\ndeadline_ms: 1",
    "line 5: a name in braces"
)]
fn compile_route_refused(#[case] route: &str, #[case] expected: &str) {
    let message = error_messages(&text_with_route(route));
    assert!(message.contains(expected), "{message}");
}

fn route_line(path: &str) -> String {
    format!("      - {{method: GET, path: '{path}', rank: 1, deadline_ms: 100}}\n")
}

fn text_with_paths(paths: &[&str]) -> String {
    let routes: String = paths.iter().map(|path| route_line(path)).collect();
    format!("services:\n  - name: a\n    routes:\n{routes}")
}

// Checks that two routes that cover the same paths are refused, since only their order in the
// configuration could decide between them.
#[rstest]
#[case::same_path(&["/a", "/a"])]
#[case::other_parameter_name(&["/a/{x}", "/a/{y}"])]
#[case::catch_all(&["/a/{x}/**", "/a/{y}/**"])]
fn compile_overlap_refused(#[case] paths: &[&str]) {
    let message = error_messages(&text_with_paths(paths));
    assert!(message.contains("covers the same paths as"), "{message}");
    assert!(
        message.starts_with("line 5: ") && message.contains("in line 4"),
        "{message}"
    );
}

/// Path pattern of the route that takes a GET request for `path`.
fn matched_path<'a>(snapshot: &'a Snapshot, path: &str) -> Option<&'a str> {
    let key = snapshot.find_route(None, "GET", path)?;
    snapshot.route(key).map(|route| route.path.as_str())
}

// Checks that the most specific route takes a request, in whatever order the configuration lists
// the routes.
#[rstest]
#[case::literal("/a/b", Some("/a/b"))]
#[case::parameter("/a/c", Some("/a/{x}"))]
#[case::first_segment_decides("/a/b/c", Some("/a/b/{y}"))]
#[case::falls_back_to_parameter("/a/z/c", Some("/a/{x}/c"))]
#[case::falls_back_to_catch_all("/a/z/d", Some("/a/**"))]
#[case::catch_all_of_empty_rest("/a", Some("/a/**"))]
#[case::empty_segment("/a/", Some("/a/**"))]
#[case::root("/", Some("/"))]
#[case::no_match("/x", None)]
#[case::relative_path("a/b", None)]
fn find_route_order(#[case] path: &str, #[case] expected: Option<&str>) {
    let mut paths = ["/a/**", "/a/{x}/c", "/a/{x}", "/a/b/{y}", "/a/b", "/"];
    for _ in 0..2 {
        let snapshot = compile(&text_with_paths(&paths), Version(1)).expect("valid");
        assert_eq!(matched_path(&snapshot, path), expected);
        assert_eq!(snapshot.find_route(None, "POST", path), None);
        paths.reverse();
    }
}

// Checks that texts that would exhaust memory, time or the space in the store are refused quickly
// and with a short message.
#[rstest]
#[case::text_too_long(format!("services: []\n{}", "#".repeat(MAX_TEXT_BYTES)), "at most 900000")]
#[case::record_too_long(format!("services: []\n{}", "#\n".repeat(400_000)), "the stored record would have")]
#[case::too_many_services(format!("services:\n{}", (0..1_001).fold(String::new(), |text, n| text + &format!("- name: s{n}\n"))), "line 1002: 1001 services; at most 1000")]
#[case::deep_flow_sequence(format!("services: {}", "[".repeat(100_000)), "line 1")]
#[case::deep_block_sequence((0..1_000).fold("services:\n".to_owned(), |text, n| text + &" ".repeat(n) + "-\n"), "line")]
#[case::exponential_aliases(exponential_aliases(), "line")]
#[case::shared_route_list(shared_route_list(), "line")]
#[case::similar_names(similar_names(), "is not listed")]
#[case::too_many_nodes(format!("services: [{}]", "{},".repeat(290_000)), "line 1")]
fn compile_bounded(#[case] text: String, #[case] expected: &str) {
    let start = Instant::now();
    let message = error_messages(&text);
    assert!(
        message.contains(expected),
        "{}",
        &message[..message.len().min(500)]
    );
    assert!(message.len() < 20_000, "{} bytes of message", message.len());
    assert!(start.elapsed().as_secs() < 10, "{:?}", start.elapsed());
}

/// A configuration with nested aliases that expand to ten billion entries in `depends`.
fn exponential_aliases() -> String {
    let mut text =
        "services:\n- name: a\n  depends: [&a0 [x, x, x, x, x, x, x, x, x, x]".to_owned();
    for level in 1..10 {
        let inner = vec![format!("*a{}", level - 1); 10].join(", ");
        text += &format!(", &a{level} [{inner}]");
    }
    text + "]\n"
}

/// A configuration with 13,000 unknown dependencies, each similar to the names of a thousand
/// services.
fn similar_names() -> String {
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

/// A well-formed text in which 1,001 services share one list of 1,000 routes by an alias.
fn shared_route_list() -> String {
    let routes: String = (0..1_000).map(|n| route_line(&format!("/{n}"))).collect();
    let first = format!("services:\n  - name: a\n    routes: &r\n{routes}");
    (0..1_000).fold(first, |text, n| {
        text + &format!("  - {{name: s{n}, routes: *r}}\n")
    })
}

// Checks that a configuration in a newer format is refused for its format rather than for unknown
// fields.
#[test]
fn compile_newer_format() {
    let errors = compile("# head\n\nformat: 3 # later\nnew: 1\n", Version(1)).expect_err("newer");
    assert_eq!(errors, [ConfigError::NewerFormat { found: 3 }]);
    assert!(compile("format: 1\nservices: []\n", Version(1)).is_ok());
}

// Checks that the bound counts the escapes of a JSON string, so that no record exceeds its bound.
#[test]
fn record_size_bound_escapes() {
    assert!(record_size_bound("") < MAX_RECORD_BYTES);
    assert_eq!(record_size_bound("\"\n") - record_size_bound(""), 4);
}

/// Texts made of words of the configuration format, so that some get past the YAML parser.
fn yaml_like_text() -> impl Strategy<Value = String> {
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
    // Checks that no input causes a panic, which would end a node.
    #[test]
    fn compile_arbitrary_text(text in any::<String>()) {
        let _ = compile(&text, Version(1));
    }

    #[test]
    fn compile_yaml_like_text(text in yaml_like_text()) {
        let _ = compile(&text, Version(1));
    }

    // Checks that the route tree finds the first of all matching routes in order of precedence.
    #[test]
    fn find_route_first_match(
        patterns in proptest::collection::vec("(/(a|b|\\{x\\})){0,4}(/\\*\\*)?", 1..20),
        path in "(/(a|b|c|)){0,5}",
    ) {
        let mut paths: Vec<String> = patterns.into_iter().map(|it| if it.is_empty() { "/".into() } else { it }).collect();
        paths.sort_unstable();
        paths.dedup();
        let paths: Vec<&str> = paths.iter().map(String::as_str).collect();
        let snapshot = compile(&text_with_paths(&paths), Version(1)).expect("no two paths overlap");
        let matches = snapshot.list_matches("GET", &path);
        assert_eq!(snapshot.find_route(None, "GET", &path), matches.first().copied());
    }
}

/// A configuration with `count` routes by host and prefix, as YAML or JSON.
fn text_with_host_routes(count: usize, json: bool) -> String {
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

// Regression test: a configuration in JSON took as long to compile as one in YAML, so that a series
// of changes kept nodes with a tenth of a core from serving requests. JSON is 8 times as fast in a
// release build.
#[test]
fn compile_json_time() {
    let time = |json| {
        let text = text_with_host_routes(1_500, json);
        let start = Instant::now();
        let snapshot = compile(&text, Version(1)).expect("the text is valid");
        let key = snapshot.find_route(Some("a.example"), "GET", "/r1499/x");
        assert!(key.is_some());
        start.elapsed()
    };
    // The best of several runs excludes the time that other processes take.
    let best = |json| (0..5).map(|_| time(json)).min().unwrap_or_default();
    let (yaml, json) = (best(false), best(true));
    assert!(json * 4 < yaml, "JSON {json:?}, YAML {yaml:?}");
}

// Checks that an error in a JSON text is found and reported with its line.
#[rstest]
#[case::unknown_field(
    "{\"services\": [],\n\"areas\": []}",
    "line 2: unknown field \"areas\""
)]
#[case::unknown_dependency(
    "{\"services\": [{\"name\": \"a\",\n\"depends\": [\"b\"]}]}",
    "line 2: service \"b\" is not listed"
)]
#[case::newer_format("{\"services\": [],\n\"format\": 9}", "format 9")]
#[case::control_character(
    "{\"services\": [],\n\"format\": \"\u{7}\"}",
    "line 2: control character"
)]
#[case::duplicate_key("{\"services\": [],\n\"services\": []}", "line 2")]
fn compile_json_refused(#[case] text: &str, #[case] message: &str) {
    let found = error_messages(text);
    assert!(found.contains(message), "{found}");
}
