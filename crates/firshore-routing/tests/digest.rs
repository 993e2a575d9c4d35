//! Tests the encoding of load digests.

use firshore_routing::digest::{ENTRY_BYTES, LoadDigest, LoadEntry, NameHash};
use firshore_routing::load::LoadReport;

#[test]
fn packed_entries_round_trip() {
    let entry = |name: &str, running, draining, age| LoadEntry {
        name: NameHash::of(name),
        report: LoadReport {
            running,
            waiting: 3,
            slots: 16,
        },
        draining,
        age,
    };
    let entries = [entry("one", 7, false, 160), entry("two", 0, true, 0)];
    let digest = LoadDigest::pack(&entries);
    assert_eq!(digest.size(), 2 * ENTRY_BYTES);
    assert_eq!(digest.entries().collect::<Vec<_>>(), entries);
    let large = LoadDigest::pack(&[entry("big", 1_000_000, false, 1_000_000)]);
    let read = large.entries().next().unwrap();
    assert_eq!((read.report.running, read.age), (65_535, 5_100));
}
