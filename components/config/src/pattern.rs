//! Path patterns of routes.

/// Longest pattern, in bytes.
const MAX_PATTERN_BYTES: usize = 1_024;
/// Maximum number of segments in a pattern; bounds the depth of the route tree.
const MAX_SEGMENTS: usize = 32;

/// One segment of a pattern. The order of the variants is the order of precedence: a literal goes
/// before `{name}`, and `{name}` before `**`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Segment {
    /// A segment with this text.
    Literal(String),
    /// `{name}`: any one segment that is not empty.
    Parameter,
    /// `**`: the rest of the path, which may be empty.
    CatchAll,
}

/// A path pattern: literal segments, `{name}` for one segment, `**` at the end for the rest.
///
/// Patterns are ordered by precedence: segment by segment, a pattern that ends before one that
/// continues. A path is routed by the first pattern in this order that covers it. The names inside
/// the braces are not part of the pattern, so patterns that differ only in them are equal.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PathPattern {
    segments: Vec<Segment>,
}

impl PathPattern {
    /// Parses a pattern; the error is a message that says what is wrong.
    pub fn parse(text: &str) -> Result<Self, &'static str> {
        let Some(rest) = text.strip_prefix('/') else {
            return Err("a path must start with '/'");
        };
        if text.len() > MAX_PATTERN_BYTES {
            return Err("a path must have at most 1024 bytes");
        }
        let segment_texts: Vec<&str> = if rest.is_empty() {
            Vec::new()
        } else {
            rest.split('/').collect()
        };
        if segment_texts.len() > MAX_SEGMENTS {
            return Err("a path must have at most 32 segments");
        }
        let mut segments = Vec::with_capacity(segment_texts.len());
        for (index, segment_text) in segment_texts.iter().enumerate() {
            segments.push(parse_segment(
                segment_text,
                index + 1 == segment_texts.len(),
            )?);
        }
        Ok(Self { segments })
    }

    /// The pattern that covers all paths below `prefix`, which ends with a slash.
    pub(crate) fn from_prefix(prefix: &str) -> Self {
        let literals = prefix.split('/').filter(|segment| !segment.is_empty());
        let mut segments: Vec<_> = literals.map(|it| Segment::Literal(it.to_owned())).collect();
        segments.push(Segment::CatchAll);
        Self { segments }
    }

    /// The segments.
    pub(crate) fn segments(&self) -> &[Segment] {
        &self.segments
    }

    /// Whether the pattern covers `path`, which has no query.
    pub fn matches(&self, path: &str) -> bool {
        let Some(rest) = path.strip_prefix('/') else {
            return false;
        };
        let mut path_segments = rest.split('/').filter(|_| !rest.is_empty());
        for segment in &self.segments {
            match segment {
                Segment::CatchAll => return true,
                Segment::Parameter
                    if path_segments
                        .next()
                        .is_some_and(|path_segment| !path_segment.is_empty()) => {}
                Segment::Literal(text) if path_segments.next() == Some(text) => {}
                Segment::Parameter | Segment::Literal(_) => return false,
            }
        }
        path_segments.next().is_none()
    }
}

fn parse_segment(text: &str, is_last: bool) -> Result<Segment, &'static str> {
    if text == "**" {
        return if is_last {
            Ok(Segment::CatchAll)
        } else {
            Err("'**' is allowed only at the end of a path")
        };
    }
    if let Some(name) = text.strip_prefix('{').and_then(|it| it.strip_suffix('}')) {
        let is_valid_byte = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'_' | b'-');
        return if !name.is_empty() && name.bytes().all(is_valid_byte) {
            Ok(Segment::Parameter)
        } else {
            Err("a name in braces must consist of letters, digits, '_' and '-'")
        };
    }
    // The characters of a path segment by RFC 3986, except '*'.
    let is_valid_byte =
        |byte: u8| byte.is_ascii_alphanumeric() || b"-._~!$&'()+,;=:@%".contains(&byte);
    match text {
        "" => Err("a path must have no empty segment"),
        "." | ".." => {
            Err("a path must have no '.' or '..' segment, because HTTP clients resolve them")
        }
        text if text.contains(['{', '}', '*', '?', '#']) => {
            Err("'{', '}', '*', '?' and '#' are not allowed inside a segment")
        }
        text if !text.bytes().all(is_valid_byte) => {
            Err("a path must have only characters of a URL; write others as %XX")
        }
        text => Ok(Segment::Literal(text.to_owned())),
    }
}
