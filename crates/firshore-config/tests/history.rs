//! Bounds and lookup of the kept history.

mod support;

use firshore_config::history::{HISTORY_RECORDS, History, Record};
use firshore_types::ids::Revision;
use support::chain;

#[test]
fn kept_history_is_bounded_and_retrievable() {
    let records = chain(HISTORY_RECORDS as u64 + 10, "one");
    let mut history = History::default();
    for record in &records {
        history.append(record.clone());
    }
    let last = records.len() as u64;
    assert_eq!(history.after(Revision(last), 1), Some(vec![]));
    assert_eq!(
        history.after(Revision(last - 3), usize::MAX).unwrap().len(),
        3
    );
    assert_eq!(history.after(Revision(last - 3), 1).unwrap().len(), 1);
    assert_eq!(history.after(Revision(2), usize::MAX), None);
    assert_eq!(history.after(Revision(last + 1), usize::MAX), None);
    assert_eq!(history.record(Revision(last)), records.last());
    assert_eq!(history.record(Revision(3)), None);
    for record in &records {
        assert_eq!(history.digest_at(record.revision), Some(record.digest()));
    }
    assert_eq!(history.digest_at(Revision(last + 1)), None);
}

#[test]
fn record_round_trips_through_text() {
    let record = &chain(2, "one")[1];
    let read = Record::from_text(record.text.clone()).unwrap();
    assert_eq!(read, *record);
    assert_eq!(read.change().unwrap().revision, Revision(2));
    assert_eq!(read.previous().unwrap(), chain(1, "one")[0].digest());
}
