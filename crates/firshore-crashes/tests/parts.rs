//! Parts of prompts under which back ends exit, beside parts that all requests share and parts of what ran there too.

use firshore_adapter::incarnation::Incarnation;
use firshore_crashes::fingerprint::{
    FingerprintInput, FingerprintKey, PartFingerprint, PartInput, RequestFingerprint,
};
use firshore_crashes::report::LostRun;
use firshore_crashes::table::CrashTable;
use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;
use std::time::{Duration, Instant};

const RETENTION: Duration = Duration::from_secs(600);

/// The first part of all prompts.
const FIRST: u64 = 1;

const FATAL: u64 = 7;

fn key() -> FingerprintKey {
    FingerprintKey::new(b"secret")
}

fn part_of(host: &str, hash: u64) -> PartFingerprint {
    key().part(&PartInput {
        tenant: None,
        host,
        hash,
    })
}

fn part(hash: u64) -> PartFingerprint {
    part_of("a.example", hash)
}

fn request_of(host: &str, number: u64) -> RequestFingerprint {
    key().fingerprint(&FingerprintInput {
        tenant: None,
        host,
        method: "POST",
        target: "/",
        body: &number.to_be_bytes(),
    })
}

/// Returns a run of a request that was lost before its first event.
fn lost(number: u64, parts: &[u64]) -> LostRun {
    LostRun {
        fingerprint: request_of("a.example", number),
        reached: 0,
        parts: parts.iter().map(|hash| part(*hash)).collect(),
    }
}

/// A table and its exits, one second apart.
struct Exits {
    table: CrashTable,
    now: Instant,
    count: u32,
}

impl Exits {
    fn new() -> Self {
        Self {
            table: CrashTable::new(1, RETENTION),
            now: Instant::now(),
            count: 0,
        }
    }

    fn add(&mut self, lost: &[LostRun]) {
        self.count += 1;
        self.now += Duration::from_secs(1);
        let backend = Incarnation::named(format!("b{}", self.count));
        self.table.record_exit(self.now, &backend, lost);
    }

    fn clear(&mut self, hash: u64) {
        self.table.clear(self.now, [part(hash).into()]);
    }

    /// Returns which of the parts are quarantined.
    fn quarantined(&self, hashes: &[u64]) -> Vec<u64> {
        let found = hashes.iter();
        let found = found.filter(|hash| self.table.quarantine(&part(**hash)).is_some());
        found.copied().collect()
    }
}

#[test]
fn the_third_exit_under_a_part_quarantines_it_and_not_the_parts_around_it() {
    let mut exits = Exits::new();
    for number in 0..3 {
        assert!(!exits.table.has_quarantined());
        // Nothing has cleared the first part yet; the last one differs.
        exits.add(&[lost(number, &[FIRST, FATAL, 100 + number])]);
    }
    assert_eq!(exits.quarantined(&[FIRST, FATAL, 100, 101, 102]), [FATAL]);
    assert!(exits.table.has_quarantined_parts());
    assert!(!exits.table.has_quarantined_requests());
}

#[test]
fn a_first_part_is_quarantined_where_no_later_one_explains_the_exits() {
    let mut exits = Exits::new();
    for number in 0..3 {
        exits.add(&[lost(number, &[FATAL, 100 + number])]);
    }
    assert_eq!(exits.quarantined(&[FATAL, 100, 101, 102]), [FATAL]);
}

#[test]
fn a_part_with_which_a_run_got_past_its_first_event_is_no_suspect() {
    let mut exits = Exits::new();
    exits.add(&[lost(0, &[FIRST, 100])]);
    exits.clear(FIRST);
    for number in 1..9 {
        exits.add(&[lost(number, &[FIRST, 100 + number])]);
    }
    assert_eq!(exits.table.suspicion(&part(FIRST)).exits, 0);
    assert!(!exits.table.has_quarantined());
}

#[test]
fn parts_of_what_ran_beside_are_not_quarantined() {
    let mut exits = Exits::new();
    for number in 0..4 {
        let mut runs = vec![lost(number, &[FIRST, FATAL])];
        // The same sound sessions wait at each of the back ends, for other requests each time.
        let beside =
            (0..5).map(|session| lost(100 * (number + 1) + session, &[FIRST, 50 + session]));
        runs.extend(beside);
        if number == 1 {
            (50..55).for_each(|session| exits.clear(session));
        }
        exits.add(&runs);
    }
    assert_eq!(
        exits.quarantined(&[FIRST, FATAL, 50, 51, 52, 53, 54]),
        [FATAL]
    );
}

#[test]
fn a_part_is_found_although_a_later_one_often_follows_it() {
    const CHILD: u64 = 8;
    let mut exits = Exits::new();
    for number in 0..3 {
        exits.add(&[lost(number, &[FIRST, FATAL, CHILD])]);
    }
    assert_eq!(exits.quarantined(&[FIRST, FATAL, CHILD]), [CHILD]);
    for number in 3..6 {
        exits.add(&[lost(number, &[FIRST, FATAL, 100 + number])]);
    }
    assert_eq!(exits.quarantined(&[FIRST, FATAL]), [FATAL]);
}

#[test]
fn a_repeated_request_is_quarantined_as_a_whole() {
    let mut exits = Exits::new();
    for _ in 0..6 {
        exits.add(&[lost(0, &[FIRST, FATAL])]);
    }
    assert!(exits.table.has_quarantined_requests());
    assert!(!exits.table.has_quarantined_parts());
}

#[test]
fn requests_that_are_repeated_do_not_hide_their_part() {
    let mut exits = Exits::new();
    for number in 0..3 {
        for _ in 0..3 {
            exits.add(&[lost(number, &[FIRST, FATAL])]);
        }
    }
    assert_eq!(exits.quarantined(&[FIRST, FATAL]), [FATAL]);
}

#[test]
fn parts_are_not_blamed_for_a_request_that_ends_back_ends_beside_them() {
    let mut exits = Exits::new();
    let fatal = request_of("b.example", 0);
    for number in 0..4 {
        let whole = LostRun {
            fingerprint: fatal,
            reached: 0,
            parts: Vec::new(),
        };
        exits.add(&[whole, lost(number, &[FIRST, 50])]);
    }
    assert!(exits.table.quarantine(&fatal).is_some());
    assert!(!exits.table.has_quarantined_parts());
}

/// An identifier of a part is the caller's word.
#[test]
fn one_caller_cannot_blame_the_part_of_another() {
    let mut exits = Exits::new();
    for number in 0..9 {
        let run = LostRun {
            fingerprint: request_of("b.example", number),
            reached: 0,
            parts: vec![part_of("b.example", FATAL)],
        };
        exits.add(&[run]);
    }
    assert!(
        exits
            .table
            .quarantine(&part_of("b.example", FATAL))
            .is_some()
    );
    assert!(exits.table.quarantine(&part(FATAL)).is_none());
}

#[test]
fn simultaneous_exits_do_not_quarantine_a_part() {
    let mut exits = Exits::new();
    for number in 0..8 {
        let backend = Incarnation::named(format!("b{number}"));
        let run = lost(number, &[FIRST, FATAL]);
        exits.table.record_exit(exits.now, &backend, &[run]);
    }
    assert!(!exits.table.has_quarantined());
}

#[test]
fn reports_about_parts_lead_to_the_same_verdict_in_any_order() {
    let mut exits = Exits::new();
    for number in 0..4 {
        exits.add(&[lost(number, &[FIRST, FATAL, 100 + number])]);
        if number == 2 {
            exits.clear(FIRST);
        }
    }
    let whole = exits.table.changes_after(exits.now, 0);
    for seed in 0..20 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut table = CrashTable::new(2, RETENTION);
        let mut ends = whole.ends.clone();
        ends.extend(whole.ends.clone());
        ends.shuffle(&mut random);
        for end in ends {
            let mut report = whole.clone();
            report.ends = vec![end];
            table.merge(exits.now, &report);
        }
        assert!(table.quarantine(&part(FATAL)).is_some(), "seed {seed}");
        assert!(table.quarantine(&part(FIRST)).is_none(), "seed {seed}");
        assert_eq!(table.suspicion(&part(FIRST)).exits, 0, "seed {seed}");
    }
}

#[test]
fn a_verdict_on_a_part_ends_with_the_time_for_which_exits_are_kept() {
    let mut exits = Exits::new();
    for number in 0..3 {
        exits.add(&[lost(number, &[FIRST, FATAL])]);
    }
    assert_eq!(exits.quarantined(&[FATAL]), [FATAL]);
    exits.table.remove_expired(exits.now + RETENTION);
    assert!(!exits.table.has_quarantined());
}

/// Known limit: a part that crashes only now and then is cleared by a run that got past its first event.
#[test]
fn a_part_that_crashes_now_and_then_is_cleared() {
    let mut exits = Exits::new();
    for number in 0..6 {
        exits.add(&[lost(number, &[FIRST, FATAL])]);
        exits.clear(FIRST);
        exits.clear(FATAL);
    }
    assert!(!exits.table.has_quarantined());
}
