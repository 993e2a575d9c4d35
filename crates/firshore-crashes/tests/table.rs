//! What is known of back ends that ended, and which requests are held back for it.

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

const REMEMBER: Duration = Duration::from_secs(600);

fn print_of(tenant: &str, target: &str) -> RequestFingerprint {
    let tenant: TenantName = tenant.into();
    FingerprintKey::new(b"secret").fingerprint(&FingerprintInput {
        tenant: Some(&tenant),
        host: "a.example",
        method: "POST",
        target,
        body: b"body",
    })
}

fn print(target: &str) -> RequestFingerprint {
    print_of("t", target)
}

fn lost(fingerprint: RequestFingerprint, reached: u64) -> LostRun {
    LostRun {
        fingerprint,
        reached,
    }
}

fn table() -> CrashTable {
    CrashTable::new(1, REMEMBER)
}

/// Ends back ends `names` under a request, one second apart from `at` on.
fn end_under(
    table: &mut CrashTable,
    at: Instant,
    print: RequestFingerprint,
    names: &[&str],
) -> Vec<TableChange> {
    let mut changes = Vec::new();
    for (idx, name) in names.iter().enumerate() {
        let at = at + Duration::from_secs(idx as u64);
        let backend = Incarnation::named(*name);
        changes.extend(table.record_exit(at, &backend, &[lost(print, 0)]));
    }
    changes
}

#[test]
fn the_third_back_end_that_ends_under_a_request_condemns_it() {
    let (mut table, now) = (table(), Instant::now());
    assert!(end_under(&mut table, now, print("/a"), &["b1", "b2"]).is_empty());
    assert_eq!(table.suspicion(&print("/a")).exits, 2);
    let changes = end_under(
        &mut table,
        now + Duration::from_secs(2),
        print("/a"),
        &["b3"],
    );
    assert!(matches!(&changes[..], [TableChange::Quarantined(one, _)] if *one == print("/a")));
    let verdict = table.quarantine(&print("/a")).unwrap();
    let names: Vec<&str> = verdict
        .backends
        .iter()
        .map(|one| one.name.as_str())
        .collect();
    assert_eq!(names, ["b1", "b2", "b3"]);
    assert!(table.quarantine(&print("/b")).is_none());
}

#[test]
fn one_back_end_counts_once_however_often_it_is_told() {
    let (mut table, now) = (table(), Instant::now());
    end_under(&mut table, now, print("/a"), &["b1", "b1", "b1", "b2"]);
    assert_eq!(table.suspicion(&print("/a")).exits, 2);
    assert!(!table.has_quarantined());
}

#[test]
fn back_ends_that_end_at_the_same_moment_are_one_occasion() {
    let (mut table, now) = (table(), Instant::now());
    for name in ["b1", "b2", "b3", "b4", "b5", "b6"] {
        table.record_exit(
            now,
            &Incarnation::named(name),
            &[lost(print("/popular"), 0)],
        );
    }
    assert_eq!(table.suspicion(&print("/popular")).exits, 6);
    assert!(!table.has_quarantined());
}

#[test]
fn a_run_to_a_good_end_clears_a_request_for_good() {
    let (mut table, now) = (table(), Instant::now());
    end_under(&mut table, now, print("/a"), &["b1", "b2"]);
    table.record_completion(now, print("/a"));
    end_under(
        &mut table,
        now + Duration::from_secs(5),
        print("/a"),
        &["b3", "b4", "b5"],
    );
    assert_eq!(table.suspicion(&print("/a")).exits, 0);
    assert!(!table.has_quarantined());
}

#[test]
fn a_verdict_is_lifted_by_a_run_that_was_under_way() {
    let (mut table, now) = (table(), Instant::now());
    end_under(&mut table, now, print("/a"), &["b1", "b2", "b3"]);
    assert!(table.has_quarantined());
    let changes = table.record_completion(now, print("/a"));
    assert_eq!(changes, [TableChange::Released(print("/a"))]);
}

#[test]
fn runs_that_get_further_each_time_condemn_nobody() {
    let (mut table, now) = (table(), Instant::now());
    for (idx, name) in ["b1", "b2", "b3", "b4", "b5", "b6"].iter().enumerate() {
        let at = now + Duration::from_secs(idx as u64);
        let run = lost(print("/item"), 1_000 * idx as u64);
        table.record_exit(at, &Incarnation::named(*name), &[run]);
    }
    assert_eq!(table.suspicion(&print("/item")).exits, 1);
    assert!(!table.has_quarantined());
}

#[test]
fn requests_beside_one_that_is_condemned_are_not() {
    let (mut table, now) = (table(), Instant::now());
    for (idx, name) in ["b1", "b2", "b3", "b4"].iter().enumerate() {
        let at = now + Duration::from_secs(idx as u64);
        let mut runs = vec![lost(print("/fatal"), 0)];
        // Beside it three times of four, and without a good end.
        if idx > 0 {
            runs.push(lost(print("/beside"), 0));
        }
        table.record_exit(at, &Incarnation::named(*name), &runs);
    }
    assert!(table.quarantine(&print("/fatal")).is_some());
    assert!(table.quarantine(&print("/beside")).is_none());
}

#[test]
fn where_more_back_ends_end_without_a_request_five_must_have_ended_under_it() {
    let (mut table, now) = (table(), Instant::now());
    for idx in 0..5 {
        let own = lost(print(&format!("/{idx}")), 0);
        table.record_exit(now, &Incarnation::named(format!("own{idx}")), &[own]);
    }
    end_under(&mut table, now, print("/a"), &["b1", "b2", "b3", "b4"]);
    assert!(table.quarantine(&print("/a")).is_none());
    end_under(
        &mut table,
        now + Duration::from_secs(4),
        print("/a"),
        &["b5"],
    );
    assert!(table.quarantine(&print("/a")).is_some());
}

#[test]
fn back_ends_that_end_after_a_verdict_do_not_lift_it() {
    let (mut table, now) = (table(), Instant::now());
    end_under(&mut table, now, print("/a"), &["b1", "b2", "b3"]);
    for idx in 3..12 {
        let at = now + Duration::from_secs(idx);
        table.record_exit(
            at,
            &Incarnation::named(format!("own{idx}")),
            &[lost(print("/b"), 0)],
        );
        assert!(table.quarantine(&print("/a")).is_some(), "after {idx} s");
    }
}

#[test]
fn a_verdict_ends_with_the_time_for_which_ends_are_kept() {
    let (mut table, now) = (table(), Instant::now());
    end_under(&mut table, now, print("/a"), &["b1", "b2", "b3"]);
    let verdict = table.quarantine(&print("/a")).unwrap();
    assert_eq!(
        table.time_left(now + Duration::from_secs(2), verdict),
        REMEMBER
    );
    assert!(
        table
            .remove_expired(now + REMEMBER - Duration::from_secs(1))
            .is_empty()
    );
    let changes = table.remove_expired(now + REMEMBER + Duration::from_secs(3));
    assert_eq!(changes, [TableChange::Released(print("/a"))]);
    assert!(table.is_empty());
}

#[test]
fn many_ends_push_out_no_verdict_of_another_caller() {
    let (mut table, now) = (table(), Instant::now());
    end_under(&mut table, now, print_of("ann", "/a"), &["a1", "a2", "a3"]);
    for idx in 0..2_000_u64 {
        let at = now + Duration::from_secs(10 + idx);
        // Three back ends for each request of a caller who sends many of them.
        let fatal = print_of("eve", &format!("/{}", idx / 3));
        table.record_exit(
            at,
            &Incarnation::named(format!("e{idx}")),
            &[lost(fatal, 0)],
        );
    }
    assert!(table.quarantine(&print_of("ann", "/a")).is_some());
    let report = whole_report(&table, now + Duration::from_secs(5_000));
    assert!(report <= 256, "{report} ends are kept");
}

fn whole_report(table: &CrashTable, now: Instant) -> usize {
    let (mut ends, mut position) = (0, 0);
    loop {
        let report: CrashReport = table.changes_after(now, position);
        if report.ends.is_empty() {
            return ends;
        }
        ends += report.ends.len();
        position = report.position;
    }
}

#[test]
fn tables_that_learn_the_same_in_any_order_judge_the_same() {
    for seed in 0..20 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let now = Instant::now();
        let mut seen: Vec<(u64, String, RequestFingerprint)> = Vec::new();
        for end in 0..12_u64 {
            for request in 0..4 {
                if random.random_bool(0.5) {
                    seen.push((end, format!("b{end}"), print(&format!("/{request}"))));
                }
            }
        }
        let judged = |seen: &[(u64, String, RequestFingerprint)]| {
            let mut table = table();
            for (end, backend, print) in seen {
                let at = now + Duration::from_secs(*end);
                table.record_exit(at, &Incarnation::named(backend.clone()), &[lost(*print, 0)]);
            }
            let prints = (0..4).map(|request| print(&format!("/{request}")));
            let verdicts: Vec<bool> = prints.map(|one| table.quarantine(&one).is_some()).collect();
            verdicts
        };
        let first = judged(&seen);
        for _ in 0..5 {
            seen.shuffle(&mut random);
            assert_eq!(judged(&seen), first, "seed {seed}");
        }
    }
}

/// Has `asker` ask `peer` until neither has more to tell.
fn exchange(
    now: Instant,
    progress: &mut CrashSync,
    name: &NodeName,
    asker: &mut CrashTable,
    peer: &mut CrashTable,
) -> usize {
    for count in 1..100 {
        let question = progress.request(now, name, asker);
        let told = question.report.position;
        let (answer, _) = sync::respond(peer, now, &question);
        progress.apply_response(now, name, told, &answer, asker);
        if !progress.has_unreported(name, asker) && answer.report.ends.is_empty() {
            return count;
        }
    }
    panic!("they never come to an end");
}

#[test]
fn a_peer_that_has_started_again_is_told_anew() {
    let began = Instant::now();
    let now = began + Duration::from_secs(10);
    let (name, mut progress): (NodeName, CrashSync) = ("n".into(), CrashSync::default());
    let (mut own, mut peer) = (table(), CrashTable::new(2, REMEMBER));
    end_under(&mut own, began, print("/a"), &["b1", "b2", "b3"]);
    exchange(now, &mut progress, &name, &mut own, &mut peer);
    assert!(peer.has_quarantined());
    assert!(!progress.differs(&name, Some(peer.cursor()), &own));
    let mut peer = CrashTable::new(3, REMEMBER);
    assert!(progress.differs(&name, None, &own));
    exchange(now, &mut progress, &name, &mut own, &mut peer);
    assert!(peer.has_quarantined());
}

#[test]
fn a_large_table_is_told_in_parts() {
    let now = Instant::now();
    let (name, mut progress): (NodeName, CrashSync) = ("n".into(), CrashSync::default());
    let (mut own, mut peer) = (table(), CrashTable::new(2, REMEMBER));
    for idx in 0..200 {
        let backend = Incarnation::named(format!("b{idx}"));
        peer.record_exit(now, &backend, &[lost(print("/a"), 0)]);
    }
    exchange(now, &mut progress, &name, &mut own, &mut peer);
    assert_eq!(own.suspicion(&print("/a")).exits, 200);
    assert_eq!(whole_report(&own, now), 200);
}

fn start(name: &str, started: u64) -> Incarnation {
    Incarnation::started(name, StartTime(started))
}

#[test]
fn each_start_of_a_back_end_that_ends_under_a_request_counts() {
    let (mut table, now) = (table(), Instant::now());
    for second in 0..3 {
        let at = now + Duration::from_secs(second);
        table.record_exit(at, &start("b", second), &[lost(print("/a"), 0)]);
    }
    let verdict = table.quarantine(&print("/a")).expect("it is held back");
    assert_eq!(
        verdict.backends,
        [0, 1, 2].map(|started| start("b", started))
    );
}

#[test]
fn starts_travel_and_an_end_told_without_one_is_no_other_end() {
    let (mut table, now) = (table(), Instant::now());
    table.record_exit(now, &start("b", 7), &[lost(print("/a"), 0)]);
    let mut report = table.changes_after(now, 0);
    let mut other = CrashTable::new(2, REMEMBER);
    other.merge(now, &report);
    assert_eq!(other.changes_after(now, 0).ends, report.ends);
    // A node that knows no starts passes the same end on.
    report.ends[0].started = None;
    other.merge(now, &report);
    assert_eq!(other.suspicion(&print("/a")).exits, 1);
}
