//! Path patterns of routes.

/// One segment of a pattern.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Segment {
    Literal(String),
    /// `{name}`: any one segment.
    Any,
    /// `**`: the rest of the path, also none.
    Rest,
}

/// A path pattern: literal segments, `{name}` for one segment, `**` at the end for the rest.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Pattern {
    segments: Vec<Segment>,
}

impl Pattern {
    /// Reads a pattern; the error says what is wrong with it.
    pub fn parse(text: &str) -> Result<Self, &'static str> {
        let Some(rest) = text.strip_prefix('/') else {
            return Err("a path starts with '/'");
        };
        let parts: Vec<&str> = if rest.is_empty() {
            Vec::new()
        } else {
            rest.split('/').collect()
        };
        let mut segments = Vec::with_capacity(parts.len());
        for (at, part) in parts.iter().enumerate() {
            let segment = match *part {
                "" => return Err("a path has no empty segment"),
                "**" if at + 1 == parts.len() => Segment::Rest,
                "**" => return Err("'**' stands only at the end of a path"),
                part if part.starts_with('{') && part.ends_with('}') => Segment::Any,
                part if part.contains(['{', '}', '*', '?', '#']) => {
                    return Err("'{', '}', '*', '?' and '#' have no meaning inside a segment");
                }
                part => Segment::Literal(part.to_owned()),
            };
            segments.push(segment);
        }
        Ok(Self { segments })
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
