//! Parsing of a configuration text: checks of size, characters and format, then YAML or JSON.

use crate::ConfigError;
use crate::MAX_RECORD_BYTES;
use crate::MAX_TEXT_BYTES;
use crate::NEWEST_FORMAT;
use crate::source::Text;

/// Deepest nesting of YAML nodes; a valid text needs at most 8 levels.
const MAX_YAML_DEPTH: usize = 16;
/// Maximum number of YAML nodes; a configuration of [`MAX_TEXT_BYTES`] with the shortest possible
/// routes has fewer.
const MAX_YAML_NODES: usize = 250_000;
/// Maximum number of YAML aliases, and of anchors; configurations need few, for example to share a
/// list.
const MAX_YAML_ALIASES: usize = 1_000;
/// Maximum number of parser events that the YAML aliases of a configuration may expand to.
const MAX_ALIAS_EVENTS: usize = 100_000;
/// Upper bound of the bytes of a stored record besides its text: its keys and five numbers.
const RECORD_ENVELOPE_BYTES: usize = 256;

/// Parses a YAML text; the rules for its values are not checked.
pub(crate) fn parse(text: &str) -> Result<Text, Vec<ConfigError>> {
    check_size(text).map_err(|error| vec![error])?;
    check_characters(text)?;
    check_leading_format(text).map_err(|error| vec![error])?;
    let options = serde_saphyr::options! {
        with_snippet: false,
        alias_limits: serde_saphyr::alias_limits! { max_total_replayed_events: MAX_ALIAS_EVENTS },
        budget: serde_saphyr::budget! {
            max_depth: MAX_YAML_DEPTH,
            max_nodes: MAX_YAML_NODES,
            max_aliases: MAX_YAML_ALIASES,
            max_anchors: MAX_YAML_ALIASES,
            max_documents: 1,
        },
    };
    let parsed: Text = serde_saphyr::from_str_with_options(text, options)
        .map_err(|error| vec![ConfigError::from_yaml(&error)])?;
    check_parsed_format(parsed)
}

/// Parses a JSON text; `None` if it is not JSON or is invalid.
pub(crate) fn parse_json(text: &str) -> Option<Text> {
    if !text.starts_with('{') || check_size(text).is_err() || check_characters(text).is_err() {
        return None;
    }
    let parsed = serde_json::from_str(text).ok()?;
    check_parsed_format(parsed).ok()
}

fn check_parsed_format(parsed: Text) -> Result<Text, Vec<ConfigError>> {
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

/// Upper bound of the size in bytes of the record of `text` in the store, where the text is a JSON
/// string.
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

/// Refuses invisible characters and those that change the order in which text is displayed.
fn check_characters(text: &str) -> Result<(), Vec<ConfigError>> {
    let is_rejected = |c: char| {
        (c.is_control() && !matches!(c, '\n' | '\r' | '\t'))
            || matches!(c, '\u{202a}'..='\u{202e}' | '\u{2066}'..='\u{2069}' | '\u{feff}')
    };
    let Some((offset, found)) = text.char_indices().find(|(_, c)| is_rejected(*c)) else {
        return Ok(());
    };
    let line = text[..offset].bytes().filter(|byte| *byte == b'\n').count() as u64 + 1;
    Err(vec![ConfigError::Invalid {
        line,
        message: format!("control character U+{:04X}", u32::from(found)),
        hint: "remove it; only line ends and tabs are accepted".into(),
    }])
}

/// Refuses a text whose first key is a newer `format`.
///
/// Runs before the text is parsed, since unknown fields of the newer format would be reported
/// first.
fn check_leading_format(text: &str) -> Result<(), ConfigError> {
    let first_line = text
        .lines()
        .map(str::trim_end)
        .find(|line| !line.is_empty() && !line.starts_with('#') && *line != "---");
    let format = first_line
        .and_then(|line| line.strip_prefix("format:"))
        .and_then(|value| value.split('#').next())
        .and_then(|value| value.trim().parse().ok());
    match format {
        Some(found) if found > u64::from(NEWEST_FORMAT) => Err(ConfigError::NewerFormat { found }),
        _ => Ok(()),
    }
}
