//! A stream of server-sent events as it passes: which events are whole, and which number the last
//! one has. No I/O.

use bytes::{Bytes, BytesMut};
use quick_error::quick_error;

/// Longest event in bytes.
const MAXIMUM_EVENT_BYTES: usize = 1024 * 1024;

quick_error! {
    /// Why a stream cannot be passed on as it is.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum EventError {
        /// An event is missing or comes twice.
        OutOfOrder(expected: u64, found: u64) {
            display("The back end sent event {found} where {expected} was due. Report this to the operators.")
        }
        /// An event is longer than the limit.
        TooLong {
            display("An event exceeds {} bytes. Ask for a shorter answer.", MAXIMUM_EVENT_BYTES)
        }
    }
}

/// Splits a stream into whole events and follows their numbers.
#[derive(Debug, Default)]
pub struct EventStream {
    buffer: BytesMut,
    last: Option<u64>,
}

impl EventStream {
    /// A stream of which events up to `last` are held already.
    pub fn after(last: Option<u64>) -> Self {
        Self {
            buffer: BytesMut::new(),
            last,
        }
    }

    /// Takes in what arrived and returns the whole events in it.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Bytes, EventError> {
        self.buffer.extend_from_slice(bytes);
        let before = self.last;
        let whole = self.follow_events().inspect_err(|_| {
            // Nothing of what arrived is returned, so none of it counts as held.
            self.last = before;
        })?;
        if self.buffer.len() - whole > MAXIMUM_EVENT_BYTES {
            self.last = before;
            return Err(EventError::TooLong);
        }
        Ok(self.buffer.split_to(whole).freeze())
    }

    /// Follows the numbers of the whole events that are held, and returns their length.
    fn follow_events(&mut self) -> Result<usize, EventError> {
        let mut whole = 0;
        while let Some(length) = event_length(&self.buffer[whole..]) {
            let event = &self.buffer[whole..whole + length];
            if let Some(number) = event_number(event) {
                self.follow(number)?;
            }
            whole += length;
        }
        Ok(whole)
    }

    fn follow(&mut self, number: u64) -> Result<(), EventError> {
        if let Some(last) = self.last
            && number != last + 1
        {
            return Err(EventError::OutOfOrder(last + 1, number));
        }
        self.last = Some(number);
        Ok(())
    }

    /// Number of the last whole event.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Whether a part of an event is held.
    pub fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Drops the part of an event at which the stream broke.
    pub fn discard_partial(&mut self) {
        self.buffer.clear();
    }
}

/// Length of the first whole event in `buffer`, with the blank line that ends it.
pub fn event_length(buffer: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (position, byte) in buffer.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &buffer[line_start..position];
        if line.is_empty() || line == b"\r" {
            return Some(position + 1);
        }
        line_start = position + 1;
    }
    None
}

fn field<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let value = line.strip_prefix(name)?.strip_prefix(b":")?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}

fn lines(event: &[u8]) -> impl Iterator<Item = &[u8]> {
    let lines = event.split(|byte| *byte == b'\n');
    lines.map(|line| line.strip_suffix(b"\r").unwrap_or(line))
}

fn event_number(event: &[u8]) -> Option<u64> {
    let number = lines(event).find_map(|line| field(line, b"id"))?;
    std::str::from_utf8(number).ok()?.trim().parse().ok()
}

/// The data of each whole event in `events`; several data lines of one event are joined by line
/// feeds.
pub fn event_data(events: &[u8]) -> Vec<String> {
    let mut found = Vec::new();
    let mut rest = events;
    while let Some(length) = event_length(rest) {
        let data: Vec<&[u8]> = lines(&rest[..length])
            .filter_map(|line| field(line, b"data"))
            .collect();
        if !data.is_empty() {
            found.push(String::from_utf8_lossy(&data.join(&b'\n')).into_owned());
        }
        rest = &rest[length..];
    }
    found
}
