//! Files in which operators edit a configuration text.
//!
//! The first line of such a file, the base line, states the version and the hash of the text that was
//! edited. A copy of that text is kept in `FILE.base`, so that a conflict can be shown as a diff.

use std::ffi::OsString;
use std::fs;
use std::io;
use std::path::Path;
use std::path::PathBuf;

use accept::Base;
use ids::Digest;
use ids::Version;

/// Start of the base line, before the version.
const BASE_LINE_PREFIX: &str = "# medlarctl: edited from version ";
/// Separates the version from the hash in the base line.
const DIGEST_LABEL: &str = " digest ";

/// Returns the text with a base line in front of it.
pub(crate) fn with_base_line(version: Version, digest: Digest, text: &str) -> String {
    format!("{BASE_LINE_PREFIX}{version}{DIGEST_LABEL}{digest}\n{text}")
}

/// Writes `text` with its base line to `path`, and a copy without the line to `FILE.base`.
pub(crate) fn write_edit_file(path: &Path, version: Version, text: &str) -> io::Result<()> {
    let digest = Digest::of(text.as_bytes());
    fs::write(path, with_base_line(version, digest, text))?;
    fs::write(base_copy_path(path), text)
}

/// Reads the text that a file was edited from. `None` if `FILE.base` is missing, cannot be read or has
/// another hash than `base`, or if the hash of the base is not known.
pub(crate) fn read_base_copy(path: &Path, base: &Base) -> Option<String> {
    let Base::Version {
        digest: Some(digest),
        ..
    } = base
    else {
        return None;
    };
    let text = fs::read_to_string(base_copy_path(path)).ok()?;
    (Digest::of(text.as_bytes()) == *digest).then_some(text)
}

fn base_copy_path(path: &Path) -> PathBuf {
    let mut name: OsString = path.into();
    name.push(".base");
    PathBuf::from(name)
}

/// Splits the base line from the text. A text without a valid base line is returned unchanged, with
/// no base.
pub(crate) fn split_base_line(text: &str) -> (Option<Base>, &str) {
    let parse = || {
        let (line, rest) = text.strip_prefix(BASE_LINE_PREFIX)?.split_once('\n')?;
        let (version, digest) = line.trim_end().split_once(DIGEST_LABEL)?;
        let base = Base::Version {
            version: Version(version.parse().ok()?),
            digest: Some(Digest(u64::from_str_radix(digest, 16).ok()?)),
        };
        Some((Some(base), rest))
    };
    parse().unwrap_or((None, text))
}
