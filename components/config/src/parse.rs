//! From bytes to the text as written: size, characters, format, YAML.

use crate::ConfigError;
use crate::MAX_RECORD_BYTES;
use crate::MAX_TEXT_BYTES;
use crate::NEWEST_FORMAT;
use crate::source::Text;

/// Deepest nesting; the language itself needs 8 levels.
const MAX_DEPTH: usize = 16;
/// Most YAML nodes; a text of 900 KB with the shortest routes has fewer.
const MAX_NODES: usize = 250_000;
/// Most aliases and anchors; the language has no use for them beyond a shared list or two.
const MAX_ALIASES: usize = 1_000;
/// Most events that aliases may expand to.
const MAX_REPLAYED: usize = 100_000;
/// Bytes of a stored record besides its text: five numbers in hexadecimal or decimal, and the keys.
const RECORD_ENVELOPE_BYTES: usize = 256;

/// Reads a text without checking its rules.
pub(crate) fn parse(text: &str) -> Result<Text, Vec<ConfigError>> {
    check_size(text).map_err(|fault| vec![fault])?;
    check_characters(text)?;
    check_format(text).map_err(|fault| vec![fault])?;
    let options = serde_saphyr::options! {
        with_snippet: false,
        alias_limits: serde_saphyr::alias_limits! { max_total_replayed_events: MAX_REPLAYED },
        budget: serde_saphyr::budget! {
            max_depth: MAX_DEPTH,
            max_nodes: MAX_NODES,
            max_aliases: MAX_ALIASES,
            max_anchors: MAX_ALIASES,
            max_documents: 1,
        },
    };
    let parsed: Text = serde_saphyr::from_str_with_options(text, options)
        .map_err(|error| vec![ConfigError::from_yaml(&error)])?;
    check_known_format(parsed)
}

/// Reads a text that is JSON; `None` if it is not, or has a fault.
pub(crate) fn parse_json(text: &str) -> Option<Text> {
    if !text.starts_with('{') || check_size(text).is_err() || check_characters(text).is_err() {
        return None;
    }
    let parsed = serde_json::from_str(text).ok()?;
    check_known_format(parsed).ok()
}

fn check_known_format(parsed: Text) -> Result<Text, Vec<ConfigError>> {
    match &parsed.format {
        Some(format) if format.value > u64::from(NEWEST_FORMAT) => {
            Err(vec![ConfigError::NewerFormat {
                found: format.value,
            }])
        }
        Some(format) if format.value == 0 => Err(vec![ConfigError::at(
            format,
            "format 0 does not exist",
            "write \"format: 1\"",
        )]),
        _ => Ok(parsed),
    }
}

fn check_size(text: &str) -> Result<(), ConfigError> {
    if text.len() > MAX_TEXT_BYTES {
        return Err(ConfigError::TooLong { bytes: text.len() });
    }
    let bytes = record_size_bound(text);
    if bytes > MAX_RECORD_BYTES {
        return Err(ConfigError::RecordTooLong { bytes });
    }
    Ok(())
}

/// Upper bound of the bytes that the record of `text` takes in the store, where it is a JSON string.
pub fn record_size_bound(text: &str) -> usize {
    let escapes: usize = text
        .bytes()
        .map(|byte| match byte {
            b'"' | b'\\' | b'\n' | b'\r' | b'\t' => 1,
            0..0x20 => 5,
            _ => 0,
        })
        .sum();
    text.len() + escapes + RECORD_ENVELOPE_BYTES
}

/// Refuses characters that a reader of the text cannot see or that reorder what it sees.
fn check_characters(text: &str) -> Result<(), Vec<ConfigError>> {
    let hidden = |c: char| {
        (c.is_control() && !matches!(c, '\n' | '\r' | '\t'))
            || matches!(c, '\u{202a}'..='\u{202e}' | '\u{2066}'..='\u{2069}' | '\u{feff}')
    };
    let Some((at, found)) = text.char_indices().find(|(_, c)| hidden(*c)) else {
        return Ok(());
    };
    let line = text[..at].bytes().filter(|byte| *byte == b'\n').count() as u64 + 1;
    Err(vec![ConfigError::Invalid {
        line,
        message: format!("control character U+{:04X}", u32::from(found)),
        hint: "remove it; only line ends and tabs are accepted".into(),
    }])
}

/// Refuses a newer format before the text is read, because its fields may not be known here.
fn check_format(text: &str) -> Result<(), ConfigError> {
    let first = text
        .lines()
        .map(str::trim_end)
        .find(|line| !line.is_empty() && !line.starts_with('#') && *line != "---");
    let number = first
        .and_then(|line| line.strip_prefix("format:"))
        .and_then(|value| value.split('#').next())
        .and_then(|value| value.trim().parse().ok());
    match number {
        Some(found) if found > u64::from(NEWEST_FORMAT) => Err(ConfigError::NewerFormat { found }),
        _ => Ok(()),
    }
}
