//! Exits of back ends, and the requests that are quarantined because of them.

use firshore_adapter::incarnation::{Incarnation, StartTime};
use firshore_crashes::fingerprint::{FingerprintInput, FingerprintKey, RequestFingerprint};
use firshore_crashes::report::{CrashReport, LostRun};
use firshore_crashes::sync::{self, CrashSync};
use firshore_crashes::table::{CrashTable, TableChange};
use firshore_types::ids::{NodeName, TenantName};
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::{Duration, Instant};

const RETENTION: Duration = Duration::from_secs(600);

fn fingerprint_of(tenant: &str, target: &str) -> RequestFingerprint {
    let tenant: TenantName = tenant.into();
    FingerprintKey::new(b"secret").fingerprint(&FingerprintInput {
        tenant: Some(&tenant),
        host: "a.example",
        method: "POST",
        target,
        body: b"body",
    })
}

fn fingerprint(target: &str) -> RequestFingerprint {
    fingerprint_of("t", target)
}

fn lost(fingerprint: RequestFingerprint, reached: u64) -> LostRun {
    LostRun {
        fingerprint,
        reached,
        parts: Vec::new(),
    }
}

fn table() -> CrashTable {
    CrashTable::new(1, RETENTION)
}

/// Records exits of back ends `names` at which a request was lost, one second apart, the first at `at`.
fn record_exits(
    table: &mut CrashTable,
    at: Instant,
    fingerprint: RequestFingerprint,
    names: &[&str],
) -> Vec<TableChange> {
    let mut changes = Vec::new();
    for (idx, name) in names.iter().enumerate() {
        let at = at + Duration::from_secs(idx as u64);
        let backend = Incarnation::named(*name);
        changes.extend(table.record_exit(at, &backend, &[lost(fingerprint, 0)]));
    }
    changes
}

#[test]
fn the_third_exit_under_a_request_quarantines_it() {
    let (mut table, now) = (table(), Instant::now());
    assert!(record_exits(&mut table, now, fingerprint("/a"), &["b1", "b2"]).is_empty());
    assert_eq!(table.suspicion(&fingerprint("/a")).exits, 2);
    let changes = record_exits(
        &mut table,
        now + Duration::from_secs(2),
        fingerprint("/a"),
        &["b3"],
    );
    assert!(
        matches!(&changes[..], [TableChange::Quarantined(request, _)] if *request == fingerprint("/a").into())
    );
    let quarantine = table.quarantine(&fingerprint("/a")).unwrap();
    let names: Vec<&str> = quarantine
        .backends
        .iter()
        .map(|backend| backend.name.as_str())
        .collect();
    assert_eq!(names, ["b1", "b2", "b3"]);
    assert!(table.quarantine(&fingerprint("/b")).is_none());
}

#[test]
fn repeated_records_of_one_exit_count_once() {
    let (mut table, now) = (table(), Instant::now());
    record_exits(
        &mut table,
        now,
        fingerprint("/a"),
        &["b1", "b1", "b1", "b2"],
    );
    assert_eq!(table.suspicion(&fingerprint("/a")).exits, 2);
    assert!(!table.has_quarantined());
}

#[test]
fn simultaneous_exits_are_one_occasion() {
    let (mut table, now) = (table(), Instant::now());
    for name in ["b1", "b2", "b3", "b4", "b5", "b6"] {
        table.record_exit(
            now,
            &Incarnation::named(name),
            &[lost(fingerprint("/popular"), 0)],
        );
    }
    assert_eq!(table.suspicion(&fingerprint("/popular")).exits, 6);
    assert!(!table.has_quarantined());
}

#[test]
fn a_completed_request_stays_cleared() {
    let (mut table, now) = (table(), Instant::now());
    record_exits(&mut table, now, fingerprint("/a"), &["b1", "b2"]);
    table.clear(now, [fingerprint("/a").into()]);
    record_exits(
        &mut table,
        now + Duration::from_secs(5),
        fingerprint("/a"),
        &["b3", "b4", "b5"],
    );
    assert_eq!(table.suspicion(&fingerprint("/a")).exits, 0);
    assert!(!table.has_quarantined());
}

#[test]
fn a_run_in_flight_that_completes_releases_the_request() {
    let (mut table, now) = (table(), Instant::now());
    record_exits(&mut table, now, fingerprint("/a"), &["b1", "b2", "b3"]);
    assert!(table.has_quarantined());
    let changes = table.clear(now, [fingerprint("/a").into()]);
    assert_eq!(changes, [TableChange::Released(fingerprint("/a").into())]);
}

#[test]
fn a_request_whose_runs_get_further_each_time_is_not_quarantined() {
    let (mut table, now) = (table(), Instant::now());
    for (idx, name) in ["b1", "b2", "b3", "b4", "b5", "b6"].iter().enumerate() {
        let at = now + Duration::from_secs(idx as u64);
        let run = lost(fingerprint("/item"), 1_000 * idx as u64);
        table.record_exit(at, &Incarnation::named(*name), &[run]);
    }
    assert_eq!(table.suspicion(&fingerprint("/item")).exits, 1);
    assert!(!table.has_quarantined());
}

#[test]
fn a_request_that_runs_beside_a_quarantined_one_is_not_quarantined() {
    let (mut table, now) = (table(), Instant::now());
    for (idx, name) in ["b1", "b2", "b3", "b4"].iter().enumerate() {
        let at = now + Duration::from_secs(idx as u64);
        let mut runs = vec![lost(fingerprint("/fatal"), 0)];
        // Lost beside it at three of the four exits, and never completed.
        if idx > 0 {
            runs.push(lost(fingerprint("/beside"), 0));
        }
        table.record_exit(at, &Incarnation::named(*name), &runs);
    }
    assert!(table.quarantine(&fingerprint("/fatal")).is_some());
    assert!(table.quarantine(&fingerprint("/beside")).is_none());
}

#[test]
fn five_exits_are_needed_if_more_happen_without_the_request() {
    let (mut table, now) = (table(), Instant::now());
    for idx in 0..5 {
        let run = lost(fingerprint(&format!("/{idx}")), 0);
        table.record_exit(now, &Incarnation::named(format!("other{idx}")), &[run]);
    }
    record_exits(
        &mut table,
        now,
        fingerprint("/a"),
        &["b1", "b2", "b3", "b4"],
    );
    assert!(table.quarantine(&fingerprint("/a")).is_none());
    record_exits(
        &mut table,
        now + Duration::from_secs(4),
        fingerprint("/a"),
        &["b5"],
    );
    assert!(table.quarantine(&fingerprint("/a")).is_some());
}

#[test]
fn later_exits_without_the_request_do_not_release_it() {
    let (mut table, now) = (table(), Instant::now());
    record_exits(&mut table, now, fingerprint("/a"), &["b1", "b2", "b3"]);
    for idx in 3..12 {
        let at = now + Duration::from_secs(idx);
        table.record_exit(
            at,
            &Incarnation::named(format!("other{idx}")),
            &[lost(fingerprint("/b"), 0)],
        );
        assert!(
            table.quarantine(&fingerprint("/a")).is_some(),
            "after {idx} s"
        );
    }
}

#[test]
fn a_quarantine_expires_after_the_retention_time() {
    let (mut table, now) = (table(), Instant::now());
    record_exits(&mut table, now, fingerprint("/a"), &["b1", "b2", "b3"]);
    let quarantine = table.quarantine(&fingerprint("/a")).unwrap();
    assert_eq!(
        table.time_left(now + Duration::from_secs(2), quarantine),
        RETENTION
    );
    assert!(
        table
            .remove_expired(now + RETENTION - Duration::from_secs(1))
            .is_empty()
    );
    let changes = table.remove_expired(now + RETENTION + Duration::from_secs(3));
    assert_eq!(changes, [TableChange::Released(fingerprint("/a").into())]);
    assert!(table.is_empty());
}

#[test]
fn many_exits_of_one_caller_evict_no_quarantine_of_another() {
    let (mut table, now) = (table(), Instant::now());
    record_exits(
        &mut table,
        now,
        fingerprint_of("ann", "/a"),
        &["a1", "a2", "a3"],
    );
    for idx in 0..2_000_u64 {
        let at = now + Duration::from_secs(10 + idx);
        // Three exits under each of many requests of one caller.
        let fatal = fingerprint_of("eve", &format!("/{}", idx / 3));
        table.record_exit(
            at,
            &Incarnation::named(format!("e{idx}")),
            &[lost(fatal, 0)],
        );
    }
    assert!(table.quarantine(&fingerprint_of("ann", "/a")).is_some());
    let kept = count_reported_exits(&table, now + Duration::from_secs(5_000));
    assert!(kept <= 256, "{kept} exits are kept");
}

fn count_reported_exits(table: &CrashTable, now: Instant) -> usize {
    let (mut count, mut position) = (0, 0);
    loop {
        let report: CrashReport = table.changes_after(now, position);
        if report.ends.is_empty() {
            return count;
        }
        count += report.ends.len();
        position = report.position;
    }
}

#[test]
fn the_order_of_records_does_not_change_the_result() {
    for seed in 0..20 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let now = Instant::now();
        let mut records: Vec<(u64, String, RequestFingerprint)> = Vec::new();
        for exit in 0..12_u64 {
            for request in 0..4 {
                if random.random_bool(0.5) {
                    records.push((
                        exit,
                        format!("b{exit}"),
                        fingerprint(&format!("/{request}")),
                    ));
                }
            }
        }
        let quarantined = |records: &[(u64, String, RequestFingerprint)]| {
            let mut table = table();
            for (exit, backend, fingerprint) in records {
                let at = now + Duration::from_secs(*exit);
                table.record_exit(
                    at,
                    &Incarnation::named(backend.clone()),
                    &[lost(*fingerprint, 0)],
                );
            }
            let fingerprints = (0..4).map(|request| fingerprint(&format!("/{request}")));
            let results: Vec<bool> = fingerprints
                .map(|fingerprint| table.quarantine(&fingerprint).is_some())
                .collect();
            results
        };
        let first = quarantined(&records);
        for _ in 0..5 {
            records.shuffle(&mut random);
            assert_eq!(quarantined(&records), first, "seed {seed}");
        }
    }
}

/// Synchronizes `local` with `peer` until neither has unreported changes; returns the number of requests.
fn exchange(
    now: Instant,
    sync: &mut CrashSync,
    name: &NodeName,
    local: &mut CrashTable,
    peer: &mut CrashTable,
) -> usize {
    for count in 1..100 {
        let request = sync.request(now, name, local);
        let reported = request.report.position;
        let (response, _) = sync::respond(peer, now, &request);
        sync.apply_response(now, name, reported, &response, local);
        if !sync.has_unreported(name, local) && response.report.ends.is_empty() {
            return count;
        }
    }
    panic!("not synchronized after 100 requests");
}

#[test]
fn a_restarted_peer_receives_the_whole_table() {
    let start = Instant::now();
    let now = start + Duration::from_secs(10);
    let (name, mut sync): (NodeName, CrashSync) = ("n".into(), CrashSync::default());
    let (mut local, mut peer) = (table(), CrashTable::new(2, RETENTION));
    record_exits(&mut local, start, fingerprint("/a"), &["b1", "b2", "b3"]);
    exchange(now, &mut sync, &name, &mut local, &mut peer);
    assert!(peer.has_quarantined());
    assert!(!sync.differs(&name, Some(peer.cursor()), &local));
    let mut peer = CrashTable::new(3, RETENTION);
    assert!(sync.differs(&name, None, &local));
    exchange(now, &mut sync, &name, &mut local, &mut peer);
    assert!(peer.has_quarantined());
}

#[test]
fn a_large_table_is_synchronized_in_several_reports() {
    let now = Instant::now();
    let (name, mut sync): (NodeName, CrashSync) = ("n".into(), CrashSync::default());
    let (mut local, mut peer) = (table(), CrashTable::new(2, RETENTION));
    for idx in 0..200 {
        let backend = Incarnation::named(format!("b{idx}"));
        peer.record_exit(now, &backend, &[lost(fingerprint("/a"), 0)]);
    }
    exchange(now, &mut sync, &name, &mut local, &mut peer);
    assert_eq!(local.suspicion(&fingerprint("/a")).exits, 200);
    assert_eq!(count_reported_exits(&local, now), 200);
}

fn incarnation(name: &str, started: u64) -> Incarnation {
    Incarnation::started(name, StartTime(started))
}

#[test]
fn each_restart_that_exits_under_a_request_counts() {
    let (mut table, now) = (table(), Instant::now());
    for second in 0..3 {
        let at = now + Duration::from_secs(second);
        table.record_exit(at, &incarnation("b", second), &[lost(fingerprint("/a"), 0)]);
    }
    let quarantine = table.quarantine(&fingerprint("/a")).expect("quarantined");
    assert_eq!(
        quarantine.backends,
        [0, 1, 2].map(|started| incarnation("b", started))
    );
}

#[test]
fn reports_carry_start_times_and_an_exit_without_one_is_not_counted_twice() {
    let (mut table, now) = (table(), Instant::now());
    table.record_exit(now, &incarnation("b", 7), &[lost(fingerprint("/a"), 0)]);
    let mut report = table.changes_after(now, 0);
    let mut other = CrashTable::new(2, RETENTION);
    other.merge(now, &report);
    assert_eq!(other.changes_after(now, 0).ends, report.ends);
    // A node that doesn't know start times forwards the same exit.
    report.ends[0].started = None;
    other.merge(now, &report);
    assert_eq!(other.suspicion(&fingerprint("/a")).exits, 1);
}
