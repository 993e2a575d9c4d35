//! A back end that works on a few requests at once, keeps a short line and turns the rest away.

use firshore_adapter::backend::ReportedLoad;
use std::collections::VecDeque;

/// Requests that it works on at once.
pub const SLOTS: usize = 8;

/// Requests that it lets wait.
const LONGEST_LINE: usize = 24;

/// What a back end does with a request that reaches it.
pub enum Taken {
    Begun,
    Waits,
    TurnedAway,
}

#[derive(Default)]
pub struct Engine {
    running: usize,
    line: VecDeque<Option<usize>>,
}

impl Engine {
    /// Takes in a request; `None` stands for one that no gateway waits for.
    pub fn take(&mut self, request: Option<usize>) -> Taken {
        if self.running < SLOTS {
            self.running += 1;
            return Taken::Begun;
        }
        if self.line.len() >= LONGEST_LINE {
            return Taken::TurnedAway;
        }
        self.line.push_back(request);
        Taken::Waits
    }

    /// A request has ended. Returns the one that has its slot now.
    pub fn ended(&mut self) -> Option<Option<usize>> {
        let next = self.line.pop_front();
        if next.is_none() {
            self.running -= 1;
        }
        next
    }

    pub fn load(&self) -> ReportedLoad {
        ReportedLoad {
            running: self.running as u32,
            waiting: self.line.len() as u32,
            slots: SLOTS as u32,
            pace: None,
        }
    }
}
