//! Why a text is refused.

use quick_error::quick_error;
use serde_saphyr::Error;
use serde_saphyr::Spanned;

use crate::MAX_RECORD_BYTES;
use crate::MAX_TEXT_BYTES;
use crate::NEWEST_FORMAT;
use crate::suggest_name;

quick_error! {
    /// Why a text is refused.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ConfigError {
        /// The text is too long.
        TooLong { bytes: usize } {
            display("the text has {bytes} bytes; at most {MAX_TEXT_BYTES} are accepted; remove services or routes that nobody uses")
        }
        /// The record of the text would not fit into the store.
        RecordTooLong { bytes: usize } {
            display("the stored record would have {bytes} bytes; the store holds at most {MAX_RECORD_BYTES}; line ends, quotes and backslashes take two bytes each there")
        }
        /// The text or its record is in a format that this build does not know.
        NewerFormat { found: u64 } {
            display("format {found} is newer than {NEWEST_FORMAT}, the newest that this program understands; upgrade it first")
        }
        /// The text is not the one that was accepted.
        DigestMismatch {
            display("the text does not match its hash")
        }
        /// A line breaks a rule; `hint` tells what to write instead.
        Invalid { line: u64, message: String, hint: String } {
            display("line {line}: {message}{}{hint}", if hint.is_empty() { "" } else { "; " })
        }
    }
}

impl ConfigError {
    /// A broken rule at the line of `at`.
    pub(crate) fn at<T>(at: &Spanned<T>, message: impl Into<String>, hint: &str) -> Self {
        Self::Invalid {
            line: at.referenced.line(),
            message: message.into(),
            hint: hint.to_owned(),
        }
    }

    /// What the YAML library found.
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

/// Message and hint for an error of the YAML library; for unknown fields the hint is the near name.
pub fn describe_yaml_error(error: &Error) -> (String, String) {
    match error {
        Error::SerdeUnknownField {
            field, expected, ..
        } => {
            let hint = suggest_name(field, expected.iter().copied()).map_or_else(
                || format!("known here: {}", expected.join(", ")),
                |near| format!("did you mean {near:?}?"),
            );
            (format!("unknown field {field:?}"), hint)
        }
        Error::SerdeMissingField { field, .. } => (
            format!("field {field:?} is missing"),
            format!("add \"{field}:\" with a value"),
        ),
        // The library repeats the place at the head of its message.
        other => {
            let text = other.to_string();
            let text = text.strip_prefix("error: ").unwrap_or(&text);
            let message = match text.split_once(": ") {
                Some((place, rest)) if place.starts_with("line ") => rest,
                _ => text,
            };
            (message.to_owned(), String::new())
        }
    }
}
