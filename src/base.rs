//! How a file remembers what it was edited from: a line in front of the text, and a copy of the base
//! beside it for the difference.

use std::ffi::OsString;
use std::fs;
use std::io;
use std::path::Path;
use std::path::PathBuf;

use accept::Base;
use ids::Digest;
use ids::Version;

/// Head of the line; the version and the hash of the text follow.
const HEAD: &str = "# medlarctl: edited from version ";
const DIGEST: &str = " digest ";

/// The text with the line in front.
pub(crate) fn add_line(version: Version, digest: Digest, text: &str) -> String {
    format!("{HEAD}{version}{DIGEST}{digest}\n{text}")
}

/// Writes a file that holds `text` as the base of further edits, and the copy beside it.
pub(crate) fn write_file(path: &Path, version: Version, text: &str) -> io::Result<()> {
    let digest = Digest::of(text.as_bytes());
    fs::write(path, add_line(version, digest, text))?;
    fs::write(copy_path(path), text)
}

/// The text that a file was edited from, if the copy beside it is that text.
pub(crate) fn read_copy(path: &Path, base: &Base) -> Option<String> {
    let Base::Version {
        digest: Some(digest),
        ..
    } = base
    else {
        return None;
    };
    let text = fs::read_to_string(copy_path(path)).ok()?;
    (Digest::of(text.as_bytes()) == *digest).then_some(text)
}

fn copy_path(path: &Path) -> PathBuf {
    let mut name: OsString = path.into();
    name.push(".base");
    PathBuf::from(name)
}

/// Separates the line from the text; a text without the line has no base.
pub(crate) fn split_line(text: &str) -> (Option<Base>, &str) {
    let read = || {
        let (line, rest) = text.strip_prefix(HEAD)?.split_once('\n')?;
        let (version, digest) = line.trim_end().split_once(DIGEST)?;
        let base = Base::Version {
            version: Version(version.parse().ok()?),
            digest: Some(Digest(u64::from_str_radix(digest, 16).ok()?)),
        };
        Some((Some(base), rest))
    };
    read().unwrap_or((None, text))
}
