//! A set of item positions as a bitmap: one bit per item, with fast access to the smallest member.

use firshore_types::ids::ItemIndex;
use serde::{Deserialize, Serialize};

const WORD_BITS: u32 = u64::BITS;

/// Positions of items.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemSet {
    words: Vec<u64>,
    count: u32,
    /// Index of a word before which all words are empty.
    first_word: usize,
}

fn word_of(index: ItemIndex) -> usize {
    (index / WORD_BITS) as usize
}

fn bit_of(index: ItemIndex) -> u64 {
    1 << (index % WORD_BITS)
}

impl ItemSet {
    /// Creates a set of the positions `0..count`.
    pub fn full(count: u32) -> Self {
        let mut words = vec![u64::MAX; count.div_ceil(WORD_BITS) as usize];
        let rest = count % WORD_BITS;
        if let Some(last) = words.last_mut().filter(|_| rest != 0) {
            *last = (1 << rest) - 1;
        }
        Self {
            words,
            count,
            first_word: 0,
        }
    }

    /// Returns the number of members.
    pub fn len(&self) -> u32 {
        self.count
    }

    /// Returns whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Returns whether `index` is a member.
    pub fn contains(&self, index: ItemIndex) -> bool {
        self.words
            .get(word_of(index))
            .is_some_and(|word| word & bit_of(index) != 0)
    }

    /// Adds `index`. Returns `false` if it was a member already.
    pub fn insert(&mut self, index: ItemIndex) -> bool {
        let word = word_of(index);
        if word >= self.words.len() {
            self.words.resize(word + 1, 0);
        }
        if self.contains(index) {
            return false;
        }
        self.words[word] |= bit_of(index);
        self.count += 1;
        self.first_word = self.first_word.min(word);
        true
    }

    /// Removes `index`. Returns `false` if it was not a member.
    pub fn remove(&mut self, index: ItemIndex) -> bool {
        if !self.contains(index) {
            return false;
        }
        self.words[word_of(index)] &= !bit_of(index);
        self.count -= 1;
        true
    }

    /// Removes and returns the smallest member.
    pub fn pop_first(&mut self) -> Option<ItemIndex> {
        while let Some(word) = self.words.get(self.first_word) {
            if *word != 0 {
                let index = self.first_word as u32 * WORD_BITS + word.trailing_zeros();
                self.remove(index);
                return Some(index);
            }
            self.first_word += 1;
        }
        None
    }

    /// Returns the positions below `total` that are not members, in ascending order.
    pub fn missing(&self, total: u32) -> impl Iterator<Item = ItemIndex> + '_ {
        (0..total).filter(|index| !self.contains(*index))
    }

    /// Returns the memory used, in bytes.
    pub fn memory_bytes(&self) -> usize {
        self.words.capacity() * size_of::<u64>()
    }
}
