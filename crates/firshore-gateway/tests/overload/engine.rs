//! A simulated back end with a fixed number of slots and a bounded queue.

use firshore_adapter::backend::ReportedLoad;
use std::collections::VecDeque;

/// Requests that an engine runs concurrently.
pub const SLOTS: usize = 8;

/// Maximum number of queued requests.
const MAX_QUEUED: usize = 24;

/// How an engine handles an incoming request.
pub enum Submission {
    Started,
    Queued,
    Refused,
}

#[derive(Default)]
pub struct Engine {
    running: usize,
    queue: VecDeque<Option<usize>>,
}

impl Engine {
    /// Submits a request; `None` stands for a request of a former gateway.
    pub fn submit(&mut self, request: Option<usize>) -> Submission {
        if self.running < SLOTS {
            self.running += 1;
            return Submission::Started;
        }
        if self.queue.len() >= MAX_QUEUED {
            return Submission::Refused;
        }
        self.queue.push_back(request);
        Submission::Queued
    }

    /// Ends a running request. Returns the queued request that gets its slot, if any.
    pub fn end(&mut self) -> Option<Option<usize>> {
        let next = self.queue.pop_front();
        if next.is_none() {
            self.running -= 1;
        }
        next
    }

    pub fn load(&self) -> ReportedLoad {
        ReportedLoad {
            running: self.running as u32,
            waiting: self.queue.len() as u32,
            slots: SLOTS as u32,
            pace: None,
        }
    }
}
