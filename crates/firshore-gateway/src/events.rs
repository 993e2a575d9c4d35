//! Splits streams of server-sent events into complete events and checks their numbers. No I/O.

use bytes::{Bytes, BytesMut};
use quick_error::quick_error;

/// Maximum length of an event in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

quick_error! {
    /// Why a stream cannot be passed on.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum EventError {
        /// An event is missing or repeated.
        OutOfOrder(expected: u64, found: u64) {
            display("The back end sent event {found} where {expected} was due. Report this to the operators.")
        }
        /// An event exceeds the maximum length.
        TooLong {
            display("An event exceeds {} bytes. Ask for a shorter answer.", MAX_EVENT_BYTES)
        }
    }
}

/// Splits a stream into complete events and checks that their numbers are consecutive.
#[derive(Debug, Default)]
pub struct EventStream {
    buffer: BytesMut,
    search: EventSearch,
    last: Option<u64>,
    /// Whether an event with data and without a number was returned.
    has_unnumbered: bool,
}

impl EventStream {
    /// Creates a stream that continues after event `last`.
    pub fn after(last: Option<u64>) -> Self {
        Self {
            last,
            ..Self::default()
        }
    }

    /// Appends received bytes and returns the complete events.
    ///
    /// # Errors
    ///
    /// Fails if an event number is not the next one, or if an event is too long.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Bytes, EventError> {
        self.buffer.extend_from_slice(bytes);
        let before = (self.last, self.has_unnumbered);
        let complete = self.check_events().inspect_err(|_| {
            // None of these events are returned, so they don't count as received.
            (self.last, self.has_unnumbered) = before;
            self.search = EventSearch::default();
        })?;
        Ok(self.buffer.split_to(complete).freeze())
    }

    /// Checks the complete events in the buffer. Returns their total length in bytes.
    fn check_events(&mut self) -> Result<usize, EventError> {
        let mut complete = 0;
        while let Some(length) = self.search.event_length(&self.buffer[complete..]) {
            let event = &self.buffer[complete..complete + length];
            match event_number(event) {
                Some(number) => self.check_number(number)?,
                None => self.has_unnumbered |= has_data(event),
            }
            complete += length;
        }
        if self.buffer.len() - complete > MAX_EVENT_BYTES {
            return Err(EventError::TooLong);
        }
        Ok(complete)
    }

    fn check_number(&mut self, number: u64) -> Result<(), EventError> {
        if let Some(last) = self.last
            && number != last + 1
        {
            return Err(EventError::OutOfOrder(last + 1, number));
        }
        self.last = Some(number);
        Ok(())
    }

    /// Returns the number of the last complete event.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Returns whether a run that starts after the last numbered event continues the stream. An event without a number
    /// would be followed by one that may stand for it.
    pub fn is_continuable(&self) -> bool {
        !self.has_unnumbered
    }

    /// Returns whether the buffer holds an incomplete event.
    pub fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Discards an incomplete event after the stream broke off.
    pub fn discard_partial(&mut self) {
        self.buffer.clear();
        self.search = EventSearch::default();
    }
}

/// Search for the end of the first event in a buffer that grows. Goes on where it was, so that an event is read once, in
/// however many pieces it arrives.
#[derive(Debug, Default)]
pub struct EventSearch {
    line_start: usize,
    /// Bytes that were read.
    read: usize,
}

impl EventSearch {
    /// Returns the length of the first complete event in `buffer` in bytes, including the blank line that ends it. Begins
    /// anew then: the next event starts behind it. Otherwise the next buffer must begin with the same bytes.
    pub fn event_length(&mut self, buffer: &[u8]) -> Option<usize> {
        for position in self.read..buffer.len() {
            if buffer[position] != b'\n' {
                continue;
            }
            let line = &buffer[self.line_start..position];
            self.line_start = position + 1;
            if line.is_empty() || line == b"\r" {
                *self = Self::default();
                return Some(position + 1);
            }
        }
        self.read = buffer.len();
        None
    }
}

/// Position of the end of a stream that is passed on as it comes. Buffers nothing.
#[derive(Debug, Default)]
pub struct EventTracker {
    line: Line,
    in_event: bool,
    has_field: bool,
    complete: u64,
}

/// What has arrived of the current line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Line {
    #[default]
    Empty,
    CarriageReturn,
    Text,
}

impl EventTracker {
    /// Takes in received bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        for byte in bytes {
            match byte {
                b'\n' => self.end_line(),
                b'\r' if self.line == Line::Empty => self.line = Line::CarriageReturn,
                _ => {
                    // A line that begins with a colon is a comment.
                    self.has_field |= self.line != Line::Text && *byte != b':';
                    self.line = Line::Text;
                }
            }
            self.in_event |= *byte != b'\n';
        }
    }

    fn end_line(&mut self) {
        if self.line != Line::Text {
            self.complete += u64::from(self.has_field);
            self.in_event = false;
            self.has_field = false;
        }
        self.line = Line::Empty;
    }

    /// Returns the number of complete events, without comments.
    pub fn complete(&self) -> u64 {
        self.complete
    }

    /// Returns whether the last event is incomplete.
    pub fn is_inside_event(&self) -> bool {
        self.in_event
    }
}

/// Returns the length of the first complete event in `buffer` in bytes, including the blank line that ends it.
pub fn event_length(buffer: &[u8]) -> Option<usize> {
    EventSearch::default().event_length(buffer)
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

fn has_data(event: &[u8]) -> bool {
    lines(event).any(|line| field(line, b"data").is_some())
}

/// Returns the data of each complete event in `events`. Several data lines of one event are joined by line feeds.
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
