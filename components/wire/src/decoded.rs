//! Result of decoding a message with a list of entries.

/// A decoded message, without the entries that are out of range.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decoded<T> {
    pub message: T,
    /// Number of entries that were left out.
    pub malformed: usize,
}

impl<T> Decoded<T> {
    /// A message of which nothing was left out.
    pub(crate) fn complete(message: T) -> Self {
        Self {
            message,
            malformed: 0,
        }
    }

    /// Builds another message from this one.
    pub(crate) fn map<U>(self, build: impl FnOnce(T) -> U) -> Decoded<U> {
        Decoded {
            message: build(self.message),
            malformed: self.malformed,
        }
    }
}

impl<T> Decoded<Vec<T>> {
    /// Collects the entries that could be decoded.
    pub(crate) fn collect(entries: impl Iterator<Item = Option<T>>) -> Self {
        let mut malformed = 0;
        let decoded = entries.filter_map(|entry| {
            malformed += usize::from(entry.is_none());
            entry
        });
        let message = decoded.collect();
        Self { message, malformed }
    }
}
