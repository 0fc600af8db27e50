//! Generational arena: storage whose items are addressed by small `Copy` keys.
//!
//! A key holds the index and the generation of a slot. Removing an item increments the generation
//! of its slot, so a key of a removed item never resolves to the item that reuses the slot.

use std::cmp::Ordering;
use std::fmt;
use std::hash::Hash;
use std::hash::Hasher;
use std::marker::PhantomData;

/// Key of an item of type `T` in an [`Arena`].
pub struct Key<T> {
    index: u32,
    generation: u32,
    marker: PhantomData<fn() -> T>,
}

impl<T> Key<T> {
    fn new(index: u32, generation: u32) -> Self {
        Self {
            index,
            generation,
            marker: PhantomData,
        }
    }

    /// Index of the slot that holds the item.
    pub fn index(self) -> usize {
        self.index as usize
    }

    fn index_and_generation(self) -> (u32, u32) {
        (self.index, self.generation)
    }
}

impl<T> Clone for Key<T> {
    fn clone(&self) -> Self {
        *self
    }
}

impl<T> Copy for Key<T> {}

impl<T> PartialEq for Key<T> {
    fn eq(&self, other: &Self) -> bool {
        self.index_and_generation() == other.index_and_generation()
    }
}

impl<T> Eq for Key<T> {}

impl<T> PartialOrd for Key<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Key<T> {
    fn cmp(&self, other: &Self) -> Ordering {
        self.index_and_generation()
            .cmp(&other.index_and_generation())
    }
}

impl<T> Hash for Key<T> {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.index_and_generation().hash(state);
    }
}

impl<T> fmt::Debug for Key<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Key({}.{})", self.index, self.generation)
    }
}

#[derive(Clone, Debug)]
struct Slot<T> {
    generation: u32,
    item: Option<T>,
}

/// Collection of items that are addressed by [`Key`]s.
#[derive(Clone, Debug)]
pub struct Arena<T> {
    /// Generation of new slots.
    first_generation: u32,
    slots: Vec<Slot<T>>,
    /// Indexes of the slots without an item.
    free_slots: Vec<u32>,
    /// Number of items.
    len: usize,
}

impl<T> Default for Arena<T> {
    fn default() -> Self {
        Self::new(0)
    }
}

impl<T> Arena<T> {
    /// Creates an empty arena whose slots start at `generation`.
    ///
    /// An arena that replaces another one must start at a different generation, so that keys of the
    /// replaced arena are not valid in the new one.
    pub fn new(generation: u32) -> Self {
        Self {
            first_generation: generation,
            slots: Vec::new(),
            free_slots: Vec::new(),
            len: 0,
        }
    }

    /// Number of items.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether the arena holds no item.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Stores `item` and returns its key; reuses a free slot if there is one.
    pub fn insert(&mut self, item: T) -> Key<T> {
        self.len += 1;
        if let Some(index) = self.free_slots.pop() {
            let slot = &mut self.slots[index as usize];
            slot.item = Some(item);
            return Key::new(index, slot.generation);
        }
        let index = u32::try_from(self.slots.len()).unwrap_or(u32::MAX);
        self.slots.push(Slot {
            generation: self.first_generation,
            item: Some(item),
        });
        Key::new(index, self.first_generation)
    }

    /// Removes and returns the item of `key`, or `None` if the key is not valid in this arena.
    pub fn remove(&mut self, key: Key<T>) -> Option<T> {
        let slot = self.slots.get_mut(key.index())?;
        if slot.generation != key.generation {
            return None;
        }
        let item = slot.item.take()?;
        slot.generation = slot.generation.wrapping_add(1);
        self.free_slots.push(key.index);
        self.len -= 1;
        Some(item)
    }

    /// Returns the item of `key`, or `None` if the key is not valid in this arena.
    pub fn get(&self, key: Key<T>) -> Option<&T> {
        let slot = self.slots.get(key.index())?;
        if slot.generation != key.generation {
            return None;
        }
        slot.item.as_ref()
    }

    /// Returns the item of `key` for modification, or `None` if the key is not valid in this arena.
    pub fn get_mut(&mut self, key: Key<T>) -> Option<&mut T> {
        let slot = self.slots.get_mut(key.index())?;
        if slot.generation != key.generation {
            return None;
        }
        slot.item.as_mut()
    }

    /// Iterates over all items and their keys, in the order of their indexes.
    pub fn iter(&self) -> impl Iterator<Item = (Key<T>, &T)> {
        self.slots.iter().enumerate().filter_map(|(index, slot)| {
            let item = slot.item.as_ref()?;
            Some((Key::new(u32::try_from(index).ok()?, slot.generation), item))
        })
    }
}
