//! Readers retry unreadable results many times per second: the log names the missing entries at most once
//! per second.

use firshore_node::journal::missing_results::MissingResults;
use slog::{Drain, Logger, OwnedKVList, Record, o};
use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone, Default)]
struct MessageList(Arc<Mutex<Vec<String>>>);

impl Drain for MessageList {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &Record<'_>, _values: &OwnedKVList) -> Result<(), slog::Never> {
        let mut lines = self.0.lock().expect("no thread panicked while logging");
        lines.push(record.msg().to_string());
        Ok(())
    }
}

#[test]
fn missing_results_are_logged_once_per_second() {
    let lines = MessageList::default();
    let missing = MissingResults::new(Logger::root(lines.clone(), o!()));
    let start = Instant::now();
    let entries = BTreeSet::from([7, 9]);
    for step in 0..25 {
        let now = start + Duration::from_millis(100 * step);
        missing.record(now, "job", &entries);
    }
    let messages = lines
        .0
        .lock()
        .expect("no thread panicked while logging")
        .clone();
    assert_eq!(messages, ["journal: Results missing."; 3]);
}
