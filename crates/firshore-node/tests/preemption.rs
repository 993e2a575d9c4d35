//! Where items give way to online requests, and what they still need until they are due.

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

fn room(online: u32) -> ServiceUsage {
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

fn held(now: Instant, index: u64, load: f32, deadline_risk: DeadlineRisk) -> PreemptibleRun {
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
fn a_few_late_requests_in_many_slots_hold_nothing_back() {
    let now = Instant::now();
    let mut way = PreemptionPolicy::default();
    way.record_pressure(now, room(500), &late(5));
    assert!(!way.is_under_pressure(&service()));
    assert!(way.may_start(&service(), SLOTS, 100, DeadlineRisk::Low));
    way.record_pressure(now + millis(20), room(500), &late(5));
    assert!(way.is_under_pressure(&service()));
    assert!(!way.may_start(&service(), SLOTS, 100, DeadlineRisk::High));
    assert!(!way.is_under_pressure(&"desk".into()), "another service");
}

#[test]
fn items_go_on_once_online_requests_leave_room() {
    let now = Instant::now();
    let mut way = PreemptionPolicy::default();
    way.record_pressure(now, room(600), &late(200));
    way.advance(now + millis(300), |_| room(400));
    assert!(
        way.is_under_pressure(&service()),
        "a moment ago they were late"
    );
    way.advance(now + millis(700), |_| room(400));
    assert!(!way.is_under_pressure(&service()));
}

#[test]
fn items_that_stepped_aside_do_not_start_again_into_the_same_wave() {
    let now = Instant::now();
    let mut way = PreemptionPolicy::default();
    way.record_pressure(now, room(600), &late(200));
    way.advance(now + millis(1_500), |_| room(590));
    assert!(way.is_under_pressure(&service()));
    way.advance(now + millis(1_700), |_| room(500));
    assert!(!way.is_under_pressure(&service()));
}

#[test]
fn what_comes_late_after_a_wave_holds_nothing_back() {
    let now = Instant::now();
    let mut way = PreemptionPolicy::default();
    way.record_pressure(now, room(600), &late(200));
    way.record_pressure(now + millis(200), room(290), &late(50));
    assert!(!way.is_under_pressure(&service()));
    way.record_pressure(now + millis(1_000), room(290), &late(50));
    assert!(!way.is_under_pressure(&service()));
    way.record_pressure(now + millis(1_800), room(290), &late(50));
    assert!(
        way.is_under_pressure(&service()),
        "that is no rest of a wave"
    );
}

#[test]
fn items_are_not_held_back_for_ever() {
    let now = Instant::now();
    let mut way = PreemptionPolicy::default();
    way.record_pressure(now, room(600), &late(200));
    way.advance(now + millis(100), |_| room(600));
    way.advance(now + millis(4_000), |_| room(600));
    assert!(!way.is_under_pressure(&service()));
}

#[test]
fn as_many_runs_step_aside_as_requests_pressed_the_least_urgent_first() {
    let now = Instant::now();
    let mut way = PreemptionPolicy::default();
    way.record_pressure(now, room(600), &late(8));
    let runs = |range: std::ops::Range<u64>| {
        let runs = range.map(|index| held(now, index, 1.0, DeadlineRisk::Low));
        runs.collect::<Vec<_>>()
    };
    let stopped = way.runs_to_preempt(&service(), room(600), runs(0..20));
    assert_eq!(keys(&stopped), (12..20).rev().collect::<Vec<_>>());
    let again = way.runs_to_preempt(&service(), room(600), runs(0..12));
    assert!(again.is_empty(), "nothing pressed since");
    way.record_pressure(now + millis(20), room(600), &late(2));
    let next = way.runs_to_preempt(&service(), room(600), runs(0..12));
    assert_eq!(keys(&next), [11, 10]);
}

#[test]
fn runs_with_room_beside_them_are_in_nobodys_way() {
    let now = Instant::now();
    let mut way = PreemptionPolicy::default();
    way.record_pressure(now, room(600), &late(100));
    let runs = vec![
        held(now, 0, 0.3, DeadlineRisk::Low),
        held(now, 1, 1.0, DeadlineRisk::Low),
    ];
    assert_eq!(keys(&way.runs_to_preempt(&service(), room(600), runs)), [1]);
}

#[test]
fn items_that_would_be_late_keep_a_small_part_of_the_slots() {
    let now = Instant::now();
    let mut way = PreemptionPolicy::default();
    way.record_pressure(now, room(600), &late(1_000));
    let runs = (0..100).map(|index| held(now, index, 1.0, DeadlineRisk::Critical));
    let stopped = way.runs_to_preempt(&service(), room(600), runs.collect());
    let kept = 100 - stopped.len();
    assert!((1..=SLOTS as usize / 20).contains(&kept), "{kept} kept");
    assert!(stopped.iter().all(|run| run.key.1 as usize >= kept));
    let last = DeadlineRisk::Critical;
    assert!(way.may_start(&service(), SLOTS, kept - 1, last));
    assert!(!way.may_start(&service(), SLOTS, kept, last));
}

#[test]
fn the_part_of_calm_time_is_learned() {
    let mut now = Instant::now();
    let mut way = PreemptionPolicy::default();
    for _ in 0..10 {
        for step in 0..60 {
            now += millis(100);
            let in_wave = step < 24;
            let online = if in_wave { 690 } else { 140 };
            if in_wave {
                way.record_pressure(now, room(online), &late(20));
            }
            way.advance(now, |_| room(online));
        }
    }
    let calm = way.calm_fraction(&service());
    assert!((0.4..0.7).contains(&calm), "{calm}");
    assert_eq!(way.calm_fraction(&"desk".into()), 1.0);
}

fn due(now: Instant, age: Duration) -> DueTime {
    DueTable::default().due(now, "job", age, Some(DUE_AFTER))
}

fn learned() -> BacklogEstimate {
    let mut work = BacklogEstimate::default();
    for _ in 0..20 {
        work.record_finished(&service(), 130, 130, millis(5_200));
    }
    work
}

#[test]
fn what_is_left_is_reckoned_by_the_usual_item() {
    let work = learned();
    let left = |produced| work.remaining(&service(), produced).unwrap().as_millis();
    assert_eq!(left(0), 5_200);
    assert_eq!(left(65), 2_600);
    assert_eq!(
        left(200),
        520,
        "it is longer than usual: by how much is unknown"
    );
    assert_eq!(work.remaining(&"desk".into(), 0), None);
}

#[test]
fn a_run_that_made_nothing_teaches_nothing() {
    let mut work = BacklogEstimate::default();
    work.record_finished(&service(), 130, 0, millis(10));
    assert_eq!(work.remaining(&service(), 0), None);
}

#[test]
fn an_item_presses_on_while_the_troughs_left_are_enough() {
    let work = learned();
    let now = Instant::now();
    let outlook = |age: u64, produced, calm| {
        let due = due(now, millis(age));
        work.deadline_risk(now, &service(), &due, produced, calm)
    };
    assert_eq!(outlook(2_000, 0, 1.0), DeadlineRisk::Low);
    assert_eq!(outlook(2_000, 0, 0.4), DeadlineRisk::High);
    assert_eq!(outlook(2_000, 100, 0.4), DeadlineRisk::Low);
    assert_eq!(outlook(12_000, 0, 1.0), DeadlineRisk::Critical);
    assert_eq!(
        outlook(17_500, 0, 1.0),
        DeadlineRisk::Low,
        "late whatever is done"
    );
    assert_eq!(outlook(19_000, 0, 1.0), DeadlineRisk::Low, "late already");
}

#[test]
fn more_work_than_room_until_it_is_due_has_items_press_on_early() {
    let mut work = learned();
    let now = Instant::now();
    assert!(
        !work.exceeds_capacity(&service(), 1_000, DUE_AFTER),
        "no room seen yet"
    );
    work.record_free_slots(now, &service(), 100);
    // 100 slots for 18 s are some 340 items of 5.2 s, with nothing in reserve.
    assert!(!work.exceeds_capacity(&service(), 200, DUE_AFTER));
    assert!(work.exceeds_capacity(&service(), 350, DUE_AFTER));
    assert!(work.exceeds_capacity(&service(), 200, DUE_AFTER / 2));
}

/// An item of the replay.
#[derive(Clone, Copy)]
struct ReplayItem {
    due: DueTime,
    left: Duration,
    runs: bool,
    starts: u32,
}

/// How a replay ended.
#[derive(Debug, Default)]
struct ReplayEnd {
    items: usize,
    in_time: usize,
    /// Slots times seconds that items held while online requests waited for a slot.
    in_the_way: f64,
    starts: u32,
}

/// What a rule does in one look.
enum Rule {
    /// By pressure and by due times.
    Pressure,
    /// By counts of what is under way alone: starts up to 0.9 of the slots as seen, stops beyond all.
    Counts,
}

const TICK: Duration = Duration::from_millis(20);

/// Age of what nodes tell when it is taken in, in ticks.
const TOLD_AFTER: usize = 6;

/// Waves of 2.4 s that use nearly all slots, troughs of 3.6 s; items come steadily, three in four seconds'
/// worth more than usual. Of online requests a part is seen.
fn replay(rule: &Rule, seen: f64, items_per_second: f64) -> ReplayEnd {
    let start = Instant::now();
    let mut way = PreemptionPolicy::default();
    let mut work = BacklogEstimate::default();
    let mut items: Vec<ReplayItem> = Vec::new();
    let mut pressures = vec![0.0; TOLD_AFTER];
    let mut end = ReplayEnd::default();
    let mut online = 0.0;
    let mut arriving = 0.0;
    for tick in 0..60_000 / TICK.as_millis() as u32 {
        let now = start + TICK * tick;
        let in_wave = (TICK * tick).as_millis() % 6_000 >= 3_600;
        let wanted = f64::from(SLOTS) * if in_wave { 0.99 } else { 0.2 };
        // A request takes some 700 ms: so does a change of their number.
        online += (wanted - online) * TICK.as_secs_f64() / 0.25;
        arriving += items_per_second * TICK.as_secs_f64();
        while arriving >= 1.0 && tick < 40_000 / TICK.as_millis() as u32 {
            arriving -= 1.0;
            items.push(ReplayItem {
                due: due(now, Duration::ZERO),
                left: millis(5_200),
                runs: false,
                starts: 0,
            });
        }
        let running = items.iter().filter(|item| item.runs).count();
        let waiting = (online + running as f64 - f64::from(SLOTS)).max(0.0);
        if waiting >= 1.0 {
            end.in_the_way += running.min(waiting as usize) as f64 * TICK.as_secs_f64();
        }
        // Of those that arrive, the part for which there is no slot waits.
        let began = online / 0.7 * TICK.as_secs_f64();
        pressures.push(if waiting >= 1.0 { began * seen } else { 0.0 });
        let told = pressures[tick as usize] as u32;
        let seen_online = (online * seen) as u32;
        let seen_load = (f64::from(seen_online) + running as f64) / f64::from(SLOTS);
        let pressure = ServicePressure {
            service: service(),
            counts: PressureCounts {
                waiting: told,
                ..PressureCounts::default()
            },
        };
        way.record_pressure(now, room(seen_online), &pressure);
        way.advance(now, |_| room(seen_online));
        work.record_free_slots(now, &service(), SLOTS - seen_online);
        let calm = way.calm_fraction(&service());
        let outlook = |item: &ReplayItem, work: &BacklogEstimate| {
            let produced = 130 - (item.left.as_millis() / 40) as usize;
            work.deadline_risk(now, &service(), &item.due, produced, calm)
        };
        let mut running_now = running;
        for item in items
            .iter_mut()
            .filter(|item| !item.runs && !item.left.is_zero())
        {
            let load = (f64::from(seen_online) + running_now as f64) / f64::from(SLOTS);
            let may = match rule {
                Rule::Pressure => {
                    let outlook = outlook(item, &work);
                    way.may_start(&service(), SLOTS, running_now, outlook)
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
                    load: seen_load as f32,
                    deadline_risk: outlook(item, &work),
                    urgency: item.due.urgency(now),
                    produced: 0,
                });
                for run in way.runs_to_preempt(&service(), room(seen_online), runs.collect()) {
                    items[run.key.1 as usize].runs = false;
                }
            }
            Rule::Counts => {
                let excess = (seen_load - 1.0).max(0.0) * f64::from(SLOTS);
                let running = items.iter_mut().filter(|item| item.runs);
                running
                    .take(excess as usize)
                    .for_each(|item| item.runs = false);
            }
        }
        for item in items.iter_mut().filter(|item| item.runs) {
            item.left = item.left.saturating_sub(TICK);
            if item.left.is_zero() {
                item.runs = false;
                end.in_time += usize::from(item.due.deadline.is_some_and(|wanted| now <= wanted));
                work.record_finished(&service(), 130, 130, millis(5_200));
            }
        }
    }
    end.items = items.len();
    end.starts = items.iter().map(|item| item.starts).sum();
    end
}

#[test]
fn in_waves_items_make_room_and_in_troughs_they_are_done_in_time() {
    for (seen, items_per_second) in [(1.0, 4.0), (0.65, 4.0), (0.65, 12.0), (0.5, 12.0)] {
        let by_counts = replay(&Rule::Counts, seen, items_per_second);
        let by_pressure = replay(&Rule::Pressure, seen, items_per_second);
        let case = format!(
            "{seen} seen, {items_per_second} items a second: {by_pressure:?}, by counts {by_counts:?}"
        );
        assert_eq!(by_pressure.in_time, by_pressure.items, "{case}");
        // Out of the way within a tenth of a wave of 2.4 s, seven of which meet items.
        let usual_running = items_per_second * 5.2;
        let bound = 7.0 * 0.24 * usual_running;
        assert!(by_pressure.in_the_way <= bound, "at most {bound}, {case}");
        if seen < 1.0 {
            assert!(by_counts.in_the_way > bound, "more than {bound}, {case}");
        }
        // Once in each wave that an item meets, at most.
        assert!(
            by_pressure.starts as usize <= 4 * by_pressure.items,
            "{case}"
        );
    }
}
