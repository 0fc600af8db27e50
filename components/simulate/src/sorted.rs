//! A map as a sorted vector.

/// Values by key.
#[derive(Clone, Debug)]
pub(crate) struct Sorted<K, V> {
    items: Vec<(K, V)>,
}

impl<K, V> Default for Sorted<K, V> {
    fn default() -> Self {
        Self { items: Vec::new() }
    }
}

impl<K: Ord, V> Sorted<K, V> {
    /// The value of a key.
    pub(crate) fn get(&self, key: &K) -> Option<&V> {
        self.position(key).ok().map(|at| &self.items[at].1)
    }

    /// Sets the value of a key; tells whether the key is new.
    pub(crate) fn insert(&mut self, key: K, value: V) -> bool {
        match self.position(&key) {
            Ok(at) => {
                self.items[at].1 = value;
                false
            }
            Err(at) => {
                self.items.insert(at, (key, value));
                true
            }
        }
    }

    /// Takes a key out.
    pub(crate) fn remove(&mut self, key: &K) -> Option<V> {
        self.position(key).ok().map(|at| self.items.remove(at).1)
    }

    /// All items in the order of their keys.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &(K, V)> {
        self.items.iter()
    }

    /// Whether there is no item.
    pub(crate) fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    fn position(&self, key: &K) -> Result<usize, usize> {
        self.items.binary_search_by(|(known, _)| known.cmp(key))
    }
}
