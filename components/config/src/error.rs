//! Errors of a configuration text.

use quick_error::quick_error;
use serde_saphyr::Error;
use serde_saphyr::Spanned;

use crate::MAX_RECORD_BYTES;
use crate::MAX_TEXT_BYTES;
use crate::NEWEST_FORMAT;
use crate::suggest_name;

quick_error! {
    /// Why a configuration text or its record is refused.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ConfigError {
        /// The text is longer than [`MAX_TEXT_BYTES`].
        TooLong { bytes: usize } {
            display("the text has {bytes} bytes; at most {MAX_TEXT_BYTES} are accepted; remove unused services or routes")
        }
        /// The record of the text would be longer than [`MAX_RECORD_BYTES`].
        RecordTooLong { bytes: usize } {
            display("the stored record would have {bytes} bytes; the store holds at most {MAX_RECORD_BYTES}; line ends, quotes and backslashes take two bytes each there")
        }
        /// The text or its record has a format newer than [`NEWEST_FORMAT`].
        NewerFormat { found: u64 } {
            display("format {found} is newer than {NEWEST_FORMAT}, the newest that this program understands; upgrade it first")
        }
        /// The text of a record does not have the hash that the record states.
        DigestMismatch {
            display("the text does not match its hash")
        }
        /// A line is invalid; `hint` says what to write instead, and is empty if there is no
        /// advice.
        Invalid { line: u64, message: String, hint: String } {
            display("line {line}: {message}{}{hint}", if hint.is_empty() { "" } else { "; " })
        }
    }
}

impl ConfigError {
    /// An error at the line of `value`.
    pub(crate) fn at<T>(value: &Spanned<T>, message: impl Into<String>, hint: &str) -> Self {
        Self::Invalid {
            line: value.referenced.line(),
            message: message.into(),
            hint: hint.to_owned(),
        }
    }

    /// Converts an error of the YAML library.
    pub(crate) fn from_yaml(error: &Error) -> Self {
        let error = error.without_snippet();
        let line = error.location().map_or(1, |location| location.line());
        let (message, hint) = describe_yaml_error(error);
        Self::Invalid {
            line,
            message,
            hint,
        }
    }
}

/// Message and hint for an error of the YAML library.
///
/// The hint for an unknown field is a known field with a similar name, or the list of known fields.
pub fn describe_yaml_error(error: &Error) -> (String, String) {
    match error {
        Error::SerdeUnknownField {
            field, expected, ..
        } => {
            let hint = suggest_name(field, expected.iter().copied()).map_or_else(
                || format!("known fields: {}", expected.join(", ")),
                |similar| format!("did you mean {similar:?}?"),
            );
            (format!("unknown field {field:?}"), hint)
        }
        Error::SerdeMissingField { field, .. } => (
            format!("field {field:?} is missing"),
            format!("add \"{field}:\" with a value"),
        ),
        // The library's message starts with the location, which is reported separately.
        other_error => {
            let text = other_error.to_string();
            let text = text.strip_prefix("error: ").unwrap_or(&text);
            let message = match text.split_once(": ") {
                Some((location, rest)) if location.starts_with("line ") => rest,
                _ => text,
            };
            (message.to_owned(), String::new())
        }
    }
}
