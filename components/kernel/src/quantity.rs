//! Text of a real-valued quantity in the settings.

use std::ops::RangeInclusive;

use quick_error::quick_error;

/// Texts that state no figure. An environment that fills in a template leaves the text empty where it has
/// no value, and writes a truth value where it switches a bound on or off without a figure.
const WITHOUT_FIGURE: [&str; 3] = ["", "false", "true"];

quick_error! {
    /// Why a text is no usable quantity.
    #[derive(Clone, Copy, Debug, PartialEq)]
    pub enum Error {
        /// The text is not a number, or the number is not in the accepted range.
        Unusable { min: f64, max: f64 } {
            display("write a number from {min} to {max}, without a unit")
        }
    }
}

/// Parses `text` as a number in `range`; fractions and exponents are accepted. Returns `None` if the text
/// states no figure: if it is empty, `true` or `false`. Fails on any other text.
pub fn parse(text: &str, range: RangeInclusive<f64>) -> Result<Option<f64>, Error> {
    if WITHOUT_FIGURE.contains(&text) {
        return Ok(None);
    }
    // No range contains NaN.
    let number = text.parse().ok().filter(|number| range.contains(number));
    let (min, max) = range.into_inner();
    number.map(Some).ok_or(Error::Unusable { min, max })
}
