//! The order in which jobs are served.

mod common;

use common::{Driver, items, submission};
use std::collections::BTreeMap;

fn shares(driver: &mut Driver, rounds: u32, count: u32) -> BTreeMap<String, usize> {
    let mut shares = BTreeMap::new();
    for _ in 0..rounds {
        for lease in driver.lease(count) {
            *shares.entry(lease.lease.job.0).or_insert(0) += 1;
        }
    }
    shares
}

#[test]
fn a_larger_priority_goes_first() {
    let mut driver = Driver::default();
    let mut low = submission("low", "a");
    low.governance.priority = 1;
    let mut high = submission("high", "b");
    high.governance.priority = 9;
    driver.submit(low, items(100, true));
    driver.submit(high, items(20, true));
    let shares = shares(&mut driver, 5, 5);
    assert_eq!(shares["high"], 20);
    assert_eq!(shares["low"], 5);
}

#[test]
fn tenants_share_equally_regardless_of_job_count() {
    let mut driver = Driver::default();
    for number in 0..10 {
        driver.submit(
            submission(&format!("many-{number}"), "many"),
            items(100, true),
        );
    }
    driver.submit(submission("single", "one"), items(1000, true));
    let shares = shares(&mut driver, 100, 8);
    let single = shares["single"];
    assert!((392..=408).contains(&single), "{single} of 800");
}

#[test]
fn an_idle_tenant_accumulates_no_credit() {
    let mut driver = Driver::default();
    driver.submit(submission("early", "a"), items(2000, true));
    shares(&mut driver, 100, 8);
    driver.submit(submission("late", "b"), items(2000, true));
    let shares = shares(&mut driver, 20, 8);
    assert!(shares["early"] >= 72, "{shares:?}");
}

#[test]
fn the_earlier_deadline_goes_first_within_a_tenant() {
    let mut driver = Driver::default();
    driver.submit(submission("none", "a"), items(10, true));
    let mut far = submission("far", "a");
    far.deadline_milliseconds = Some(1_000_000);
    driver.submit(far, items(10, true));
    let mut near = submission("near", "a");
    near.deadline_milliseconds = Some(100_000);
    driver.submit(near, items(10, true));
    let jobs: Vec<String> = driver
        .lease(30)
        .into_iter()
        .map(|one| one.lease.job.0)
        .collect();
    let order: Vec<&str> = [0, 10, 20]
        .into_iter()
        .map(|at| jobs[at].as_str())
        .collect();
    assert_eq!(order, ["near", "far", "none"]);
}

#[test]
fn only_models_that_the_engine_runs_are_served() {
    let mut driver = Driver::default();
    let mut other = submission("other", "a");
    other.model = "another-model".to_owned();
    driver.submit(other, items(3, true));
    assert!(driver.lease(3).is_empty());
}

#[test]
fn memory_besides_the_texts_is_bounded() {
    let mut driver = Driver::default();
    driver.submit(submission("large", "a"), items(400_000, true));
    let pending = driver.table.overhead_bytes() as f64 / 400_000.0;
    assert!(pending < 16.0, "{pending} bytes per pending item");
    while let Some(lease) = driver.lease(1).pop() {
        driver.complete(&lease.lease, "x");
    }
    let finished = driver.table.overhead_bytes() as f64 / 400_000.0;
    println!("bytes per item besides its texts: {pending:.1} pending, {finished:.1} finished");
    assert!(finished < 48.0, "{finished} bytes per finished item");
}
