//! A map backed by a sorted vector.

/// Values by key, iterated in the order of the keys.
#[derive(Clone, Debug)]
pub(crate) struct SortedMap<K, V> {
    /// Sorted by key; each key occurs once.
    entries: Vec<(K, V)>,
}

impl<K, V> Default for SortedMap<K, V> {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
        }
    }
}

impl<K: Ord, V> SortedMap<K, V> {
    /// Returns the value of a key.
    pub(crate) fn get(&self, key: &K) -> Option<&V> {
        self.position(key).ok().map(|index| &self.entries[index].1)
    }

    /// Sets the value of a key; returns whether the key is new.
    pub(crate) fn insert(&mut self, key: K, value: V) -> bool {
        match self.position(&key) {
            Ok(index) => {
                self.entries[index].1 = value;
                false
            }
            Err(index) => {
                self.entries.insert(index, (key, value));
                true
            }
        }
    }

    /// Removes a key and returns its value.
    pub(crate) fn remove(&mut self, key: &K) -> Option<V> {
        self.position(key)
            .ok()
            .map(|index| self.entries.remove(index).1)
    }

    /// Iterates over the entries in the order of their keys.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &(K, V)> {
        self.entries.iter()
    }

    /// Whether the map has no entries.
    pub(crate) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Index of the entry with this key, or the index at which to insert it.
    fn position(&self, key: &K) -> Result<usize, usize> {
        self.entries.binary_search_by(|(known, _)| known.cmp(key))
    }
}
