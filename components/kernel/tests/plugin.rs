//! Tests of the values of plug-in params.

use rstest::rstest;

use kernel::plugin::Params;

fn params_with(value: &str) -> Params {
    Params::from_pairs([("slack".to_owned(), value.to_owned())])
}

/// Guards against a process that ends because a quantity is not a whole number, or has no figure: the first
/// is used as it is, the second counts as not set.
#[rstest]
#[case::whole("56", Some(56.0))]
#[case::fraction("33.82352941176471", Some(33.823_529_411_764_71))]
#[case::exponent("1.5e2", Some(150.0))]
#[case::zero("0", Some(0.0))]
#[case::empty("", None)]
#[case::switched_on("true", None)]
#[case::switched_off("false", None)]
fn quantity_figure(#[case] value: &str, #[case] expected: Option<f64>) {
    assert_eq!(
        params_with(value).quantity("slack", 0.0..=1_000.0),
        Ok(expected)
    );
    assert_eq!(Params::default().quantity("slack", 0.0..=1_000.0), Ok(None));
}

/// Guards against a quantity without a meaning: it is refused with its name and the accepted values.
#[rstest]
fn quantity_refused(
    #[values("-0.5", "1000.5", "NaN", "inf", "-inf", "6s", "1,5", "True")] value: &str,
) {
    let error = params_with(value).quantity("slack", 0.0..=1_000.0);
    assert_eq!(
        error.expect_err("the value is refused").to_string(),
        format!(
            "plug-in param slack: {value:?} is not usable; write a number from 0 to 1000, without a unit"
        )
    );
}

/// Guards against a process that ends because a limit on whole things, such as file descriptors, is stated
/// with a fraction: only the whole ones below it can be used.
#[rstest]
#[case::whole("4100", 4_100)]
#[case::whole_as_fraction("4100.0", 4_100)]
#[case::fraction("4100.9", 4_100)]
#[case::below_one("0.9", 0)]
#[case::unlimited("18446744073709551615", u64::MAX)]
#[case::empty("", 7)]
#[case::switched_off("false", 7)]
fn limit_or_figure(#[case] value: &str, #[case] expected: u64) {
    assert_eq!(params_with(value).limit_or("slack", 7), Ok(expected));
}

/// Guards against a limit without a meaning that becomes 0 or the largest number.
#[rstest]
fn limit_or_refused(#[values("-1", "NaN", "inf", "1e30", "8k")] value: &str) {
    let error = params_with(value).limit_or("slack", 7);
    let message = error.expect_err("the value is refused").to_string();
    assert!(message.starts_with(&format!(
        "plug-in param slack: {value:?} is not usable; write a number "
    )));
}

/// Guards against a param that is written without a value and ends the process: it counts as not set.
#[rstest]
fn get_empty() {
    assert_eq!(params_with("").get("slack"), None);
    assert_eq!(params_with("").u64_or("slack", 7), Ok(7));
    assert_eq!(params_with("").f64_or("slack", 0.7, 0.0..=1.0), Ok(0.7));
}
