//! Body of a request while it is being received.
//!
//! It is kept in segments of one size: a buffer that grows by doubling holds up to twice its content, and what large
//! buffers leave behind when they are freed stays resident.

use bytes::{Bytes, BytesMut};

/// Length of a segment in bytes; small enough that the allocator reuses freed ones.
const SEGMENT_BYTES: usize = 64 * 1024;

/// Received part of a body.
pub(crate) struct IncomingBody {
    full: Vec<BytesMut>,
    last: BytesMut,
    /// Length that the head announces; `None` for a chunked body.
    announced: Option<usize>,
}

impl IncomingBody {
    /// Creates a body of which nothing was received.
    pub(crate) fn new(announced: Option<usize>) -> Self {
        Self {
            full: Vec::new(),
            last: BytesMut::new(),
            announced,
        }
    }

    /// Returns the number of received bytes.
    pub(crate) fn len(&self) -> usize {
        self.full.len() * SEGMENT_BYTES + self.last.len()
    }

    /// Returns an upper bound on the memory that it needs to hold `length` bytes.
    pub(crate) fn bytes_for(&self, length: usize) -> usize {
        let segments = match length <= SEGMENT_BYTES {
            true => (2 * length).min(SEGMENT_BYTES),
            false => length.next_multiple_of(SEGMENT_BYTES),
        };
        segments.min(self.announced.unwrap_or(usize::MAX))
    }

    /// Appends received bytes.
    pub(crate) fn push(&mut self, mut bytes: Bytes) {
        while !bytes.is_empty() {
            if self.last.len() == SEGMENT_BYTES {
                self.full.push(std::mem::take(&mut self.last));
            }
            let count = bytes.len().min(SEGMENT_BYTES - self.last.len());
            self.make_room(count);
            self.last.extend_from_slice(&bytes.split_to(count));
        }
    }

    fn make_room(&mut self, count: usize) {
        let needed = self.last.len() + count;
        if needed <= self.last.capacity() {
            return;
        }
        let doubled = needed.max(2 * self.last.capacity()).min(SEGMENT_BYTES);
        let capacity = match self.announced {
            Some(length) => (length - self.full.len() * SEGMENT_BYTES).min(SEGMENT_BYTES),
            None if self.full.is_empty() => doubled,
            None => SEGMENT_BYTES,
        };
        let mut grown = BytesMut::with_capacity(capacity.max(needed));
        grown.extend_from_slice(&self.last);
        self.last = grown;
    }

    /// Returns the whole body in one piece.
    pub(crate) fn join(self) -> Bytes {
        if self.full.is_empty() {
            return self.last.freeze();
        }
        let mut whole = BytesMut::with_capacity(self.len());
        for segment in self.full {
            whole.extend_from_slice(&segment);
        }
        whole.extend_from_slice(&self.last);
        whole.freeze()
    }
}
