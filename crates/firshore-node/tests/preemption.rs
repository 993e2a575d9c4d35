//! Preemption of batch items by online requests, and the items' backlog and deadline risk.

use firshore_gateway::pressure::{PressureCounts, ServicePressure};
use firshore_node::runner::backlog::{BacklogEstimate, DeadlineRisk};
use firshore_node::runner::preemption::{PreemptibleRun, PreemptionPolicy, ServiceUsage};
use firshore_node::runner::urgency::{DueTable, DueTime, ItemUrgency};
use firshore_types::ids::ServiceName;
use std::time::{Duration, Instant};

const SLOTS: u32 = 720;
const DUE_AFTER: Duration = Duration::from_secs(18);

fn service() -> ServiceName {
    "chat".into()
}

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn usage(online: u32) -> ServiceUsage {
    ServiceUsage {
        slots: SLOTS,
        online,
    }
}

fn late(count: u32) -> ServicePressure {
    ServicePressure {
        service: service(),
        counts: PressureCounts {
            late: count,
            ..PressureCounts::default()
        },
    }
}

fn preemptible_run(
    now: Instant,
    index: u64,
    load: f32,
    deadline_risk: DeadlineRisk,
) -> PreemptibleRun {
    PreemptibleRun {
        key: ("job".to_owned(), index as _),
        load,
        deadline_risk,
        urgency: ItemUrgency::InTime(now + millis(1_000 + index)),
        produced: 0,
    }
}

fn keys(runs: &[PreemptibleRun]) -> Vec<u64> {
    runs.iter().map(|run| run.key.1 as u64).collect()
}

#[test]
fn few_late_requests_hold_no_items_back() {
    let now = Instant::now();
    let mut policy = PreemptionPolicy::default();
    policy.record_pressure(now, usage(500), &late(5));
    assert!(!policy.is_under_pressure(&service()));
    assert!(policy.may_start(&service(), SLOTS, 100, DeadlineRisk::Low));
    policy.record_pressure(now + millis(20), usage(500), &late(5));
    assert!(policy.is_under_pressure(&service()));
    assert!(!policy.may_start(&service(), SLOTS, 100, DeadlineRisk::High));
    assert!(!policy.is_under_pressure(&"desk".into()), "another service");
}

#[test]
fn items_resume_once_online_requests_leave_capacity() {
    let now = Instant::now();
    let mut policy = PreemptionPolicy::default();
    policy.record_pressure(now, usage(600), &late(200));
    policy.advance(now + millis(300), |_| usage(400));
    assert!(
        policy.is_under_pressure(&service()),
        "requests were late recently"
    );
    policy.advance(now + millis(700), |_| usage(400));
    assert!(!policy.is_under_pressure(&service()));
}

#[test]
fn preempted_items_do_not_restart_in_the_same_wave() {
    let now = Instant::now();
    let mut policy = PreemptionPolicy::default();
    policy.record_pressure(now, usage(600), &late(200));
    policy.advance(now + millis(1_500), |_| usage(590));
    assert!(policy.is_under_pressure(&service()));
    policy.advance(now + millis(1_700), |_| usage(500));
    assert!(!policy.is_under_pressure(&service()));
}

#[test]
fn late_requests_after_a_wave_hold_no_items_back() {
    let now = Instant::now();
    let mut policy = PreemptionPolicy::default();
    policy.record_pressure(now, usage(600), &late(200));
    policy.record_pressure(now + millis(200), usage(290), &late(50));
    assert!(!policy.is_under_pressure(&service()));
    policy.record_pressure(now + millis(1_000), usage(290), &late(50));
    assert!(!policy.is_under_pressure(&service()));
    policy.record_pressure(now + millis(1_800), usage(290), &late(50));
    assert!(
        policy.is_under_pressure(&service()),
        "too late for the rest of a wave"
    );
}

#[test]
fn items_are_held_back_for_a_bounded_time() {
    let now = Instant::now();
    let mut policy = PreemptionPolicy::default();
    policy.record_pressure(now, usage(600), &late(200));
    policy.advance(now + millis(100), |_| usage(600));
    policy.advance(now + millis(4_000), |_| usage(600));
    assert!(!policy.is_under_pressure(&service()));
}

#[test]
fn one_run_is_preempted_per_pressing_request_least_urgent_first() {
    let now = Instant::now();
    let mut policy = PreemptionPolicy::default();
    policy.record_pressure(now, usage(600), &late(8));
    let runs = |range: std::ops::Range<u64>| {
        let runs = range.map(|index| preemptible_run(now, index, 1.0, DeadlineRisk::Low));
        runs.collect::<Vec<_>>()
    };
    let stopped = policy.runs_to_preempt(&service(), usage(600), runs(0..20));
    assert_eq!(keys(&stopped), (12..20).rev().collect::<Vec<_>>());
    let again = policy.runs_to_preempt(&service(), usage(600), runs(0..12));
    assert!(again.is_empty(), "no pressure since");
    policy.record_pressure(now + millis(20), usage(600), &late(2));
    let next = policy.runs_to_preempt(&service(), usage(600), runs(0..12));
    assert_eq!(keys(&next), [11, 10]);
}

#[test]
fn runs_beside_free_slots_are_not_preempted() {
    let now = Instant::now();
    let mut policy = PreemptionPolicy::default();
    policy.record_pressure(now, usage(600), &late(100));
    let runs = vec![
        preemptible_run(now, 0, 0.3, DeadlineRisk::Low),
        preemptible_run(now, 1, 1.0, DeadlineRisk::Low),
    ];
    assert_eq!(
        keys(&policy.runs_to_preempt(&service(), usage(600), runs)),
        [1]
    );
}

#[test]
fn critical_items_keep_a_small_fraction_of_the_slots() {
    let now = Instant::now();
    let mut policy = PreemptionPolicy::default();
    policy.record_pressure(now, usage(600), &late(1_000));
    let runs = (0..100).map(|index| preemptible_run(now, index, 1.0, DeadlineRisk::Critical));
    let stopped = policy.runs_to_preempt(&service(), usage(600), runs.collect());
    let kept = 100 - stopped.len();
    assert!((1..=SLOTS as usize / 20).contains(&kept), "{kept} kept");
    assert!(stopped.iter().all(|run| run.key.1 as usize >= kept));
    let last = DeadlineRisk::Critical;
    assert!(policy.may_start(&service(), SLOTS, kept - 1, last));
    assert!(!policy.may_start(&service(), SLOTS, kept, last));
}

#[test]
fn calm_fraction_is_estimated() {
    let mut now = Instant::now();
    let mut policy = PreemptionPolicy::default();
    for _ in 0..10 {
        for step in 0..60 {
            now += millis(100);
            let in_wave = step < 24;
            let online = if in_wave { 690 } else { 140 };
            if in_wave {
                policy.record_pressure(now, usage(online), &late(20));
            }
            policy.advance(now, |_| usage(online));
        }
    }
    let calm = policy.calm_fraction(&service());
    assert!((0.4..0.7).contains(&calm), "{calm}");
    assert_eq!(policy.calm_fraction(&"desk".into()), 1.0);
}

fn due(now: Instant, age: Duration) -> DueTime {
    DueTable::default().due(now, "job", age, Some(DUE_AFTER))
}

fn estimate_of_typical_items() -> BacklogEstimate {
    let mut estimate = BacklogEstimate::default();
    for _ in 0..20 {
        estimate.record_finished(&service(), 130, 130, millis(5_200));
    }
    estimate
}

#[test]
fn remaining_time_follows_the_typical_item() {
    let estimate = estimate_of_typical_items();
    let remaining = |produced| {
        estimate
            .remaining(&service(), produced)
            .unwrap()
            .as_millis()
    };
    assert_eq!(remaining(0), 5_200);
    assert_eq!(remaining(65), 2_600);
    assert_eq!(
        remaining(200),
        520,
        "longer than typical, by an unknown amount"
    );
    assert_eq!(estimate.remaining(&"desk".into(), 0), None);
}

#[test]
fn run_without_output_is_not_recorded() {
    let mut estimate = BacklogEstimate::default();
    estimate.record_finished(&service(), 130, 0, millis(10));
    assert_eq!(estimate.remaining(&service(), 0), None);
}

#[test]
fn deadline_risk_depends_on_the_remaining_calm_time() {
    let estimate = estimate_of_typical_items();
    let now = Instant::now();
    let risk = |age: u64, produced, calm| {
        let due = due(now, millis(age));
        estimate.deadline_risk(now, &service(), &due, produced, calm)
    };
    assert_eq!(risk(2_000, 0, 1.0), DeadlineRisk::Low);
    assert_eq!(risk(2_000, 0, 0.4), DeadlineRisk::High);
    assert_eq!(risk(2_000, 100, 0.4), DeadlineRisk::Low);
    assert_eq!(risk(12_000, 0, 1.0), DeadlineRisk::Critical);
    assert_eq!(risk(17_500, 0, 1.0), DeadlineRisk::Low, "late in any case");
    assert_eq!(risk(19_000, 0, 1.0), DeadlineRisk::Low, "late already");
}

#[test]
fn backlog_exceeds_capacity_until_the_deadline() {
    let mut estimate = estimate_of_typical_items();
    let now = Instant::now();
    assert!(
        !estimate.exceeds_capacity(&service(), 1_000, DUE_AFTER),
        "no free slots observed yet"
    );
    estimate.record_free_slots(now, &service(), 100);
    // 100 slots hold about 340 items of 5.2 s in 18 s, without reserve.
    assert!(!estimate.exceeds_capacity(&service(), 200, DUE_AFTER));
    assert!(estimate.exceeds_capacity(&service(), 350, DUE_AFTER));
    assert!(estimate.exceeds_capacity(&service(), 200, DUE_AFTER / 2));
}

/// An item in a replay.
#[derive(Clone, Copy)]
struct ReplayItem {
    due: DueTime,
    remaining: Duration,
    runs: bool,
    starts: u32,
}

/// Totals of a replay.
#[derive(Debug, Default)]
struct ReplayTotals {
    items: usize,
    in_time: usize,
    /// Slot-seconds that items held while online requests waited for a slot.
    blocking: f64,
    starts: u32,
}

/// How items are started and stopped at each tick.
enum Rule {
    /// By pressure and deadlines.
    Pressure,
    /// By counts in flight only: starts items below 0.9 of the slots as observed, stops them above all slots.
    Counts,
}

const TICK: Duration = Duration::from_millis(20);

/// Delay of the nodes' reports, in ticks.
const REPORT_DELAY_TICKS: usize = 6;

/// Replays 60 s of waves of 2.4 s that use nearly all slots and troughs of 3.6 s. Items arrive at a constant rate
/// for 40 s; `observed` is the fraction of online requests that is observed.
fn replay(rule: &Rule, observed: f64, items_per_second: f64) -> ReplayTotals {
    let start = Instant::now();
    let mut policy = PreemptionPolicy::default();
    let mut estimate = BacklogEstimate::default();
    let mut items: Vec<ReplayItem> = Vec::new();
    let mut pressures = vec![0.0; REPORT_DELAY_TICKS];
    let mut totals = ReplayTotals::default();
    let mut online = 0.0;
    let mut arriving = 0.0;
    for tick in 0..60_000 / TICK.as_millis() as u32 {
        let now = start + TICK * tick;
        let in_wave = (TICK * tick).as_millis() % 6_000 >= 3_600;
        let target = f64::from(SLOTS) * if in_wave { 0.99 } else { 0.2 };
        // A request takes about 700 ms, so their number takes about as long to follow the wave (time constant 250 ms).
        online += (target - online) * TICK.as_secs_f64() / 0.25;
        arriving += items_per_second * TICK.as_secs_f64();
        while arriving >= 1.0 && tick < 40_000 / TICK.as_millis() as u32 {
            arriving -= 1.0;
            items.push(ReplayItem {
                due: due(now, Duration::ZERO),
                remaining: millis(5_200),
                runs: false,
                starts: 0,
            });
        }
        let running = items.iter().filter(|item| item.runs).count();
        let waiting = (online + running as f64 - f64::from(SLOTS)).max(0.0);
        if waiting >= 1.0 {
            totals.blocking += running.min(waiting as usize) as f64 * TICK.as_secs_f64();
        }
        // While no slot is free, the requests that arrive are reported as waiting.
        let started = online / 0.7 * TICK.as_secs_f64();
        pressures.push(if waiting >= 1.0 {
            started * observed
        } else {
            0.0
        });
        let reported = pressures[tick as usize] as u32;
        let observed_online = (online * observed) as u32;
        let observed_load = (f64::from(observed_online) + running as f64) / f64::from(SLOTS);
        let pressure = ServicePressure {
            service: service(),
            counts: PressureCounts {
                waiting: reported,
                ..PressureCounts::default()
            },
        };
        policy.record_pressure(now, usage(observed_online), &pressure);
        policy.advance(now, |_| usage(observed_online));
        estimate.record_free_slots(now, &service(), SLOTS - observed_online);
        let calm = policy.calm_fraction(&service());
        let risk = |item: &ReplayItem, estimate: &BacklogEstimate| {
            let produced = 130 - (item.remaining.as_millis() / 40) as usize;
            estimate.deadline_risk(now, &service(), &item.due, produced, calm)
        };
        let mut running_now = running;
        for item in items
            .iter_mut()
            .filter(|item| !item.runs && !item.remaining.is_zero())
        {
            let load = (f64::from(observed_online) + running_now as f64) / f64::from(SLOTS);
            let may = match rule {
                Rule::Pressure => {
                    let risk = risk(item, &estimate);
                    policy.may_start(&service(), SLOTS, running_now, risk)
                }
                Rule::Counts => true,
            };
            if may && load < 0.9 {
                item.runs = true;
                item.starts += 1;
                running_now += 1;
            }
        }
        match rule {
            Rule::Pressure => {
                let runs = items.iter().enumerate().filter(|(_, item)| item.runs);
                let runs = runs.map(|(index, item)| PreemptibleRun {
                    key: ("job".to_owned(), index as _),
                    load: observed_load as f32,
                    deadline_risk: risk(item, &estimate),
                    urgency: item.due.urgency(now),
                    produced: 0,
                });
                for run in
                    policy.runs_to_preempt(&service(), usage(observed_online), runs.collect())
                {
                    items[run.key.1 as usize].runs = false;
                }
            }
            Rule::Counts => {
                let excess = (observed_load - 1.0).max(0.0) * f64::from(SLOTS);
                let running = items.iter_mut().filter(|item| item.runs);
                running
                    .take(excess as usize)
                    .for_each(|item| item.runs = false);
            }
        }
        for item in items.iter_mut().filter(|item| item.runs) {
            item.remaining = item.remaining.saturating_sub(TICK);
            if item.remaining.is_zero() {
                item.runs = false;
                totals.in_time +=
                    usize::from(item.due.deadline.is_some_and(|deadline| now <= deadline));
                estimate.record_finished(&service(), 130, 130, millis(5_200));
            }
        }
    }
    totals.items = items.len();
    totals.starts = items.iter().map(|item| item.starts).sum();
    totals
}

#[test]
fn items_are_preempted_in_waves_and_finish_in_time_in_troughs() {
    for (observed, items_per_second) in [(1.0, 4.0), (0.65, 4.0), (0.65, 12.0), (0.5, 12.0)] {
        let by_counts = replay(&Rule::Counts, observed, items_per_second);
        let by_pressure = replay(&Rule::Pressure, observed, items_per_second);
        let case = format!(
            "{observed} observed, {items_per_second} items per second: {by_pressure:?}, by counts {by_counts:?}"
        );
        assert_eq!(by_pressure.in_time, by_pressure.items, "{case}");
        // Items may block for at most a tenth of each wave of 2.4 s; seven waves meet items.
        let mean_running = items_per_second * 5.2;
        let bound = 7.0 * 0.24 * mean_running;
        assert!(by_pressure.blocking <= bound, "at most {bound}, {case}");
        if observed < 1.0 {
            assert!(by_counts.blocking > bound, "more than {bound}, {case}");
        }
        // At most one start in each wave that an item meets.
        assert!(
            by_pressure.starts as usize <= 4 * by_pressure.items,
            "{case}"
        );
    }
}
