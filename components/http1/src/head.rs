//! Limits on the heads of messages, from the outermost hop to the innermost.
//!
//! A head that one hop has accepted reaches the next one with what this node adds to it. The limits of
//! a hop are therefore worked out from those of the hop before it: a head that is within the limits on
//! callers is never refused between nodes, and a response that the owner has read is never refused by
//! the entry.

/// Smallest limit on the bytes of a head that hyper accepts.
const MIN_BYTES: usize = 8 * 1024;
/// Average length of a header line, in bytes, from which the limit on headers follows. The limit has to
/// cover heads of many short headers, and memory for it is reserved for each head that is parsed.
const MIN_AVERAGE_HEADER_BYTES: usize = 8;
/// Largest limit on headers; `HeaderMap` holds 24,576.
const MAX_HEADERS: usize = 16 * 1024;
/// Headers that nodes and a dialect add to a message.
const ADDED_HEADERS: usize = 32;
/// Bytes of the headers that nodes and a dialect add to a message.
const ADDED_BYTES: usize = 4 * 1024;

/// Limits on a head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Limits {
    /// Longest head, in bytes.
    pub(crate) bytes: usize,
    /// Maximum number of headers.
    pub(crate) headers: usize,
}

impl Limits {
    /// Limits on the response of an upstream.
    pub(crate) const UPSTREAM_RESPONSE: Self = Self {
        bytes: 64 * 1024,
        headers: 256,
    };

    /// Limits on the request of a caller, of which the configuration limits the bytes alone.
    pub(crate) fn for_callers(max_head_bytes: usize) -> Self {
        let bytes = max_head_bytes.max(MIN_BYTES);
        Self {
            bytes,
            headers: (bytes / MIN_AVERAGE_HEADER_BYTES).min(MAX_HEADERS),
        }
    }

    /// Limits that a message within these limits meets on the next hop between two nodes.
    pub(crate) const fn between_nodes(self) -> Self {
        Self {
            // hyper writes a space behind each colon, also where the received head has none.
            bytes: self.bytes + self.headers + ADDED_BYTES,
            headers: self.headers + ADDED_HEADERS,
        }
    }
}
