//! Path patterns of routes.

/// Longest pattern, in bytes.
const MAX_BYTES: usize = 1_024;
/// Most segments of a pattern; bounds the depth of the route tree.
const MAX_SEGMENTS: usize = 32;

/// One segment of a pattern, in the order of match: a literal goes before `{name}`, which goes
/// before `**`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Segment {
    Literal(String),
    /// `{name}`: any one segment.
    Any,
    /// `**`: the rest of the path, also none.
    Rest,
}

/// A path pattern: literal segments, `{name}` for one segment, `**` at the end for the rest.
///
/// Patterns are ordered segment by segment, and a pattern that ends goes before one that goes on.
/// Of all patterns that cover a path, the first in this order takes it. Equal patterns differ at most
/// in the names inside the braces, so neither could go first.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PathPattern {
    segments: Vec<Segment>,
}

impl PathPattern {
    /// Reads a pattern; the error says what is wrong with it.
    pub fn parse(text: &str) -> Result<Self, &'static str> {
        let Some(rest) = text.strip_prefix('/') else {
            return Err("a path starts with '/'");
        };
        if text.len() > MAX_BYTES {
            return Err("a path has at most 1024 bytes");
        }
        let parts: Vec<&str> = if rest.is_empty() {
            Vec::new()
        } else {
            rest.split('/').collect()
        };
        if parts.len() > MAX_SEGMENTS {
            return Err("a path has at most 32 segments");
        }
        let mut segments = Vec::with_capacity(parts.len());
        for (at, part) in parts.iter().enumerate() {
            segments.push(parse_segment(part, at + 1 == parts.len())?);
        }
        Ok(Self { segments })
    }

    /// The pattern of all paths that begin with `prefix`, which ends with a slash.
    pub(crate) fn from_prefix(prefix: &str) -> Self {
        let literals = prefix.split('/').filter(|part| !part.is_empty());
        let mut segments: Vec<_> = literals.map(|it| Segment::Literal(it.to_owned())).collect();
        segments.push(Segment::Rest);
        Self { segments }
    }

    /// The segments.
    pub(crate) fn segments(&self) -> &[Segment] {
        &self.segments
    }

    /// Whether the pattern covers `path` (without query).
    pub fn matches(&self, path: &str) -> bool {
        let Some(rest) = path.strip_prefix('/') else {
            return false;
        };
        let mut parts = rest.split('/').filter(|_| !rest.is_empty());
        for segment in &self.segments {
            match segment {
                Segment::Rest => return true,
                Segment::Any if parts.next().is_some_and(|part| !part.is_empty()) => {}
                Segment::Literal(text) if parts.next() == Some(text) => {}
                Segment::Any | Segment::Literal(_) => return false,
            }
        }
        parts.next().is_none()
    }
}

fn parse_segment(part: &str, last: bool) -> Result<Segment, &'static str> {
    if part == "**" {
        return if last {
            Ok(Segment::Rest)
        } else {
            Err("'**' stands only at the end of a path")
        };
    }
    if let Some(name) = part.strip_prefix('{').and_then(|it| it.strip_suffix('}')) {
        let valid = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'_' | b'-');
        return if !name.is_empty() && name.bytes().all(valid) {
            Ok(Segment::Any)
        } else {
            Err("a name in braces has letters, digits, '_' and '-'")
        };
    }
    // Characters of a path segment in RFC 3986, without '*'.
    let valid = |byte: u8| byte.is_ascii_alphanumeric() || b"-._~!$&'()+,;=:@%".contains(&byte);
    match part {
        "" => Err("a path has no empty segment"),
        "." | ".." => Err("a path has no '.' or '..' segment, because HTTP clients resolve them"),
        part if part.contains(['{', '}', '*', '?', '#']) => {
            Err("'{', '}', '*', '?' and '#' have no meaning inside a segment")
        }
        part if !part.bytes().all(valid) => {
            Err("a path has only characters of a URL; write others as %XX")
        }
        part => Ok(Segment::Literal(part.to_owned())),
    }
}
