//! Readers of results that cannot be read ask again many times a second: the log must say which
//! entries are missing, and must not fill up with it.

use firshore_node::journal::missing_results::MissingResults;
use slog::{Drain, Logger, OwnedKVList, Record, o};
use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone, Default)]
struct LineList(Arc<Mutex<Vec<String>>>);

impl Drain for LineList {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &Record<'_>, _values: &OwnedKVList) -> Result<(), slog::Never> {
        let mut lines = self.0.lock().expect("nobody panics");
        lines.push(record.msg().to_string());
        Ok(())
    }
}

#[test]
fn missing_results_are_told_once_a_second() {
    let lines = LineList::default();
    let missing = MissingResults::new(Logger::root(lines.clone(), o!()));
    let start = Instant::now();
    let entries = BTreeSet::from([7, 9]);
    for step in 0..25 {
        let now = start + Duration::from_millis(100 * step);
        missing.record(now, "job", &entries);
    }
    let told = lines.0.lock().expect("nobody panics").clone();
    assert_eq!(told, ["journal: Results missing."; 3]);
}
