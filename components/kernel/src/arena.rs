//! Storage addressed by small `Copy` keys.
//!
//! A key holds the index and the generation of its slot. A slot's generation changes when its item
//! is removed, so a key that outlives its item finds nothing instead of another item.

use std::cmp::Ordering;
use std::fmt;
use std::hash::Hash;
use std::hash::Hasher;
use std::marker::PhantomData;

/// Address of an item of type `T` in an [`Arena`].
pub struct Key<T> {
    index: u32,
    generation: u32,
    item: PhantomData<fn() -> T>,
}

impl<T> Key<T> {
    fn new(index: u32, generation: u32) -> Self {
        Self {
            index,
            generation,
            item: PhantomData,
        }
    }

    /// Position of the item in its arena.
    pub fn index(self) -> usize {
        self.index as usize
    }

    fn parts(self) -> (u32, u32) {
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
        self.parts() == other.parts()
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
        self.parts().cmp(&other.parts())
    }
}

impl<T> Hash for Key<T> {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.parts().hash(state);
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

/// Items addressed by [`Key`]s.
#[derive(Clone, Debug)]
pub struct Arena<T> {
    first_generation: u32,
    slots: Vec<Slot<T>>,
    free: Vec<u32>,
    len: usize,
}

impl<T> Default for Arena<T> {
    fn default() -> Self {
        Self::new(0)
    }
}

impl<T> Arena<T> {
    /// An empty arena whose slots start at `generation`.
    ///
    /// Arenas that replace one another start at different generations, so that a key of one is not
    /// valid in another.
    pub fn new(generation: u32) -> Self {
        Self {
            first_generation: generation,
            slots: Vec::new(),
            free: Vec::new(),
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

    /// Stores `item`, in a free slot where there is one.
    pub fn insert(&mut self, item: T) -> Key<T> {
        self.len += 1;
        if let Some(index) = self.free.pop() {
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

    /// Takes the item out and makes its key invalid.
    pub fn remove(&mut self, key: Key<T>) -> Option<T> {
        let slot = self.slots.get_mut(key.index())?;
        if slot.generation != key.generation {
            return None;
        }
        let item = slot.item.take()?;
        slot.generation = slot.generation.wrapping_add(1);
        self.free.push(key.index);
        self.len -= 1;
        Some(item)
    }

    /// The item, if the key is valid here.
    pub fn get(&self, key: Key<T>) -> Option<&T> {
        let slot = self.slots.get(key.index())?;
        if slot.generation != key.generation {
            return None;
        }
        slot.item.as_ref()
    }

    /// The item for change, if the key is valid here.
    pub fn get_mut(&mut self, key: Key<T>) -> Option<&mut T> {
        let slot = self.slots.get_mut(key.index())?;
        if slot.generation != key.generation {
            return None;
        }
        slot.item.as_mut()
    }

    /// All items with their keys, in order of position.
    pub fn iter(&self) -> impl Iterator<Item = (Key<T>, &T)> {
        self.slots.iter().enumerate().filter_map(|(index, slot)| {
            let item = slot.item.as_ref()?;
            Some((Key::new(u32::try_from(index).ok()?, slot.generation), item))
        })
    }
}
