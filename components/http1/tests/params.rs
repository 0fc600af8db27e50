//! Tests of the params of the front end.

use rstest::rstest;

use front::FRONT_END_PLUGINS;

// Without this import the linker would drop the crate together with the plug-in that it registers.
use http1 as _;
use kernel::plugin;
use kernel::plugin::Params;

/// Error message of a front end that is built with a param; `None` if the front end is built.
fn build_error(name: &str, value: &str) -> Option<String> {
    let params = Params::from_pairs([(name.to_owned(), value.to_owned())]);
    let built = plugin::build("front", &FRONT_END_PLUGINS, "http1", &params);
    built.err().map(|error| error.to_string())
}

/// Guards against nodes that end at their start because their limit of file descriptors is a fraction or not
/// stated.
#[rstest]
fn make_descriptors(#[values("4100", "4100.0", "4100.5", "", "false", "true")] value: &str) {
    assert_eq!(build_error("descriptors", value), None);
}

/// Guards against a front end whose limit of file descriptors has no meaning, which would refuse or accept
/// every connection.
#[rstest]
fn make_descriptors_refused(#[values("-1", "NaN", "inf", "1e30", "8k")] value: &str) {
    let error = build_error("descriptors", value).expect("the value is refused");
    let expected = format!("plug-in param descriptors: {value:?} is not usable; write a number ");
    assert!(error.starts_with(&expected), "{error}");
}

/// Guards against a front end that does not start because no dialect or depth of pipelining is stated.
#[rstest]
fn make_absent(#[values("dialect", "pipeline")] name: &str) {
    assert_eq!(build_error(name, ""), None);
}
