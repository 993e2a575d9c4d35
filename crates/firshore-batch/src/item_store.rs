//! The submitted items of a job, packed chunk by chunk. Bodies of a chunk are dropped once every
//! item of the chunk has its result; names stay for the output.

use crate::command::Item;
use firshore_types::ids::ItemIndex;
use serde::{Deserialize, Serialize};

/// Concatenated texts with their end positions.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct PackedTexts {
    text: String,
    ends: Vec<u32>,
}

impl PackedTexts {
    fn pack<'a>(texts: impl Iterator<Item = &'a str>) -> Self {
        let mut packed = Self::default();
        for text in texts {
            packed.text.push_str(text);
            packed.ends.push(packed.text.len() as u32);
        }
        packed.text.shrink_to_fit();
        packed.ends.shrink_to_fit();
        packed
    }

    fn get(&self, position: usize) -> Option<&str> {
        let end = *self.ends.get(position)? as usize;
        let start = match position {
            0 => 0,
            _ => self.ends[position - 1] as usize,
        };
        self.text.get(start..end)
    }

    fn overhead_bytes(&self) -> usize {
        self.ends.capacity() * size_of::<u32>()
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Chunk {
    start: ItemIndex,
    count: u32,
    unfinished: u32,
    names: PackedTexts,
    bodies: PackedTexts,
}

/// All items of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemStore {
    chunks: Vec<Chunk>,
    total: u32,
}

impl ItemStore {
    /// Adds a chunk of items at the end.
    pub fn append(&mut self, items: &[Item]) {
        let count = items.len() as u32;
        self.chunks.push(Chunk {
            start: self.total,
            count,
            unfinished: count,
            names: PackedTexts::pack(items.iter().map(|item| item.custom_id.as_str())),
            bodies: PackedTexts::pack(items.iter().map(|item| item.body.as_str())),
        });
        self.total += count;
    }

    /// Returns the number of items.
    pub fn total(&self) -> u32 {
        self.total
    }

    fn locate(&self, index: ItemIndex) -> Option<(usize, usize)> {
        let after = self.chunks.partition_point(|chunk| chunk.start <= index);
        let position = after.checked_sub(1)?;
        let offset = index - self.chunks[position].start;
        (offset < self.chunks[position].count).then_some((position, offset as usize))
    }

    /// Returns the caller's name for an item.
    pub fn custom_id(&self, index: ItemIndex) -> Option<&str> {
        let (chunk, offset) = self.locate(index)?;
        self.chunks[chunk].names.get(offset)
    }

    /// Returns an item's body, or `None` once all items of its chunk are finished.
    pub fn body(&self, index: ItemIndex) -> Option<&str> {
        let (chunk, offset) = self.locate(index)?;
        self.chunks[chunk].bodies.get(offset)
    }

    /// Counts an item as finished. Must be called only once for each item.
    pub fn finish(&mut self, index: ItemIndex) {
        let Some((chunk, _)) = self.locate(index) else {
            return;
        };
        let chunk = &mut self.chunks[chunk];
        chunk.unfinished = chunk.unfinished.saturating_sub(1);
        if chunk.unfinished == 0 {
            chunk.bodies = PackedTexts::default();
        }
    }

    /// Drops all bodies, when no item of the job will run again.
    pub fn drop_bodies(&mut self) {
        for chunk in &mut self.chunks {
            chunk.bodies = PackedTexts::default();
        }
    }

    /// Returns the memory in bytes used besides the texts.
    pub fn overhead_bytes(&self) -> usize {
        let of = |chunk: &Chunk| {
            size_of::<Chunk>() + chunk.names.overhead_bytes() + chunk.bodies.overhead_bytes()
        };
        self.chunks.iter().map(of).sum()
    }
}
