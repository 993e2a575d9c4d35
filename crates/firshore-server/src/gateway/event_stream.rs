//! The state of a streamed answer as it passes: which events are whole, which token comes next,
//! and whether the end was proper. No I/O.
//!
//! An engine numbers its events by token (`id: N`). After a break the stream goes on at the next
//! token; a token that comes twice is dropped, and a gap is a fault.

use bytes::{Bytes, BytesMut};
use firshore_gateway::events::EventSearch;
use quick_error::quick_error;

/// Longest event in bytes.
const MAXIMUM_EVENT_BYTES: usize = 1024 * 1024;

const TERMINAL_DATA: &[u8] = b"[DONE]";
const PREEMPTED_EVENT: &[u8] = b"preempted";

quick_error! {
    /// Why a stream cannot be passed on as it is.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum StreamFault {
        /// The engine stopped the run; it can go on at the next token.
        Preempted {
            display("The engine stopped the run. It can be resumed.")
        }
        /// A token is missing.
        Gap(expected: u64, found: u64) {
            display("The engine sent token {found} after {expected} was due. Report this to the operators.")
        }
        /// An event is longer than the limit.
        TooLong {
            display("An event of the engine's exceeds {} bytes. Ask for a shorter answer.", MAXIMUM_EVENT_BYTES)
        }
    }
}

/// A streamed answer under way.
#[derive(Debug, Default)]
pub struct EventStream {
    buffer: BytesMut,
    search: EventSearch,
    next_token: u64,
    unnumbered: bool,
    finished: bool,
    holds_fault: bool,
}

#[derive(Default)]
struct Event<'a> {
    id: Option<u64>,
    name: &'a [u8],
    data: &'a [u8],
}

impl EventStream {
    /// Takes in what arrived and returns what may be passed on: whole events, each once.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Bytes, StreamFault> {
        self.buffer.extend_from_slice(bytes);
        self.holds_fault = false;
        let mut passed = BytesMut::new();
        while let Some(length) = self.search.event_length(&self.buffer) {
            let raw = self.buffer.split_to(length);
            if self.finished {
                continue;
            }
            match self.take(&parse(&raw)) {
                Ok(true) => passed.extend_from_slice(&raw),
                Ok(false) => {}
                // What came before the fault is whole, and is passed on by the next call.
                Err(fault) if passed.is_empty() => return Err(fault),
                Err(_) => {
                    let mut rest = BytesMut::from(&raw[..]);
                    rest.extend_from_slice(&self.buffer);
                    self.buffer = rest;
                    self.holds_fault = true;
                    break;
                }
            }
        }
        if passed.is_empty() && self.buffer.len() > MAXIMUM_EVENT_BYTES {
            return Err(StreamFault::TooLong);
        }
        Ok(passed.freeze())
    }

    fn take(&mut self, event: &Event<'_>) -> Result<bool, StreamFault> {
        if event.name == PREEMPTED_EVENT {
            return Err(StreamFault::Preempted);
        }
        if event.data == TERMINAL_DATA {
            self.finished = true;
            return Ok(true);
        }
        match event.id {
            Some(token) if token < self.next_token => Ok(false),
            Some(token) if token == self.next_token => {
                self.next_token += 1;
                Ok(true)
            }
            Some(token) => Err(StreamFault::Gap(self.next_token, token)),
            None => {
                self.unnumbered |= !event.data.is_empty();
                Ok(true)
            }
        }
    }

    /// Whether an event of the stream is held back by a fault that the next [`Self::feed`] will
    /// report.
    pub fn holds_fault(&self) -> bool {
        self.holds_fault
    }

    /// Whether the terminal event has passed.
    pub fn is_finished(&self) -> bool {
        self.finished
    }

    /// The token at which the stream would go on, or `None` if it cannot: an event without a
    /// number has passed.
    pub fn resume_from(&self) -> Option<u64> {
        (!self.unnumbered).then_some(self.next_token)
    }

    /// Drops the part of an event at which the stream broke.
    pub fn broken_off(&mut self) {
        self.buffer.clear();
        self.search = EventSearch::default();
        self.holds_fault = false;
    }
}

fn parse(raw: &[u8]) -> Event<'_> {
    let mut event = Event::default();
    for line in raw.split(|byte| *byte == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        let Some(colon) = line.iter().position(|byte| *byte == b':') else {
            continue;
        };
        let (field, value) = (&line[..colon], line[colon + 1..].trim_ascii());
        match field {
            b"id" => {
                event.id = std::str::from_utf8(value)
                    .ok()
                    .and_then(|text| text.parse().ok())
            }
            b"event" => event.name = value,
            b"data" => event.data = value,
            _ => {}
        }
    }
    event
}
