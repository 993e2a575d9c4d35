//! Requests that crash back ends must be quarantined on all nodes after their third crash, even where each node sees
//! only some of the crashes. Harmless requests that are lost when back ends exit must not be quarantined.

mod crash_world;

use crash_world::{ExitPattern, FaultKind, RunReport, Scenario, simulate};
use std::time::Duration;

/// Seeds per class without `FIRSHORE_CRASH_SEEDS`.
const SEEDS: u64 = 3;

/// Sends of a fatal request allowed after the propagation bound.
const MAX_LATE_SENDS: usize = 3;

const CALM: Scenario = Scenario {
    seed: 0,
    nodes: 46,
    relays: 6,
    backends: 24,
    reuses_names: false,
    fatal: 1,
    fatal_parts: 0,
    has_child_part: false,
    callers: 1,
    max_interval_ms: 500,
    popular_interval_ms: 400,
    exit_pattern: ExitPattern::None,
    fault: FaultKind::None,
    resets: 0,
    propagation_bound: Duration::from_secs(3),
    duration: Duration::from_secs(25),
};

fn seeds() -> u64 {
    let wanted = std::env::var("FIRSHORE_CRASH_SEEDS");
    wanted.map_or(SEEDS, |seeds| seeds.parse().expect("a number of seeds"))
}

/// Runs a class with each seed, and prints the results.
fn run_seeds(class: &str, scenario: Scenario) -> Vec<RunReport> {
    let mut all = Vec::new();
    for seed in 1..=seeds() {
        let report = simulate(Scenario { seed, ..scenario });
        eprintln!("{class}, seed {seed}: {report:?}");
        all.push(report);
    }
    all
}

/// Checks that fatal requests are quarantined in time and that no harmless request is quarantined.
fn check(class: &str, scenario: Scenario) {
    for (idx, report) in run_seeds(class, scenario).iter().enumerate() {
        let seed = idx + 1;
        let max_late = report.late_sends.iter().max().copied().unwrap_or(0);
        assert!(
            max_late <= MAX_LATE_SENDS,
            "{class}, seed {seed}: {report:?}"
        );
        assert_eq!(report.quarantined, 0, "{class}, seed {seed}: {report:?}");
        assert!(report.attempts > 500, "{class}, seed {seed}: {report:?}");
    }
}

#[test]
fn one_fatal_request_is_quarantined() {
    check("often", CALM);
    check(
        "at once",
        Scenario {
            max_interval_ms: 60,
            ..CALM
        },
    );
    check(
        "seldom",
        Scenario {
            max_interval_ms: 6_000,
            duration: Duration::from_secs(60),
            ..CALM
        },
    );
    check(
        "longer bound",
        Scenario {
            propagation_bound: Duration::from_secs(5),
            ..CALM
        },
    );
}

#[test]
fn several_fatal_requests_are_quarantined() {
    check("two", Scenario { fatal: 2, ..CALM });
    check(
        "six",
        Scenario {
            fatal: 6,
            max_interval_ms: 1_500,
            ..CALM
        },
    );
}

#[test]
fn fatal_requests_are_quarantined_despite_spontaneous_exits() {
    for exit_pattern in [
        ExitPattern::Single,
        ExitPattern::Mass,
        ExitPattern::Flapping,
    ] {
        check(
            &format!("{exit_pattern:?}"),
            Scenario {
                exit_pattern,
                ..CALM
            },
        );
    }
}

/// Covers back ends that restart with the same name: few that each crash several times, and the default number with
/// spontaneous exits.
#[test]
fn fatal_requests_are_quarantined_when_back_ends_keep_their_names() {
    let kept = Scenario {
        reuses_names: true,
        ..CALM
    };
    let few = Scenario {
        backends: 6,
        duration: Duration::from_secs(40),
        ..kept
    };
    check("names kept", kept);
    check("few, names kept", few);
    for exit_pattern in [
        ExitPattern::Single,
        ExitPattern::Mass,
        ExitPattern::Flapping,
    ] {
        let scenario = Scenario {
            exit_pattern,
            ..kept
        };
        check(&format!("{exit_pattern:?}, names kept"), scenario);
        let harmless = Scenario {
            fatal: 0,
            resets: 20,
            ..scenario
        };
        check(&format!("harmless {exit_pattern:?}, names kept"), harmless);
    }
}

#[test]
fn harmless_requests_are_not_quarantined_when_back_ends_exit() {
    for exit_pattern in [
        ExitPattern::None,
        ExitPattern::Single,
        ExitPattern::Mass,
        ExitPattern::Flapping,
    ] {
        let scenario = Scenario {
            fatal: 0,
            exit_pattern,
            resets: 20,
            ..CALM
        };
        check(&format!("harmless {exit_pattern:?}"), scenario);
        let popular = Scenario {
            popular_interval_ms: 40,
            duration: Duration::from_secs(12),
            ..scenario
        };
        check(&format!("popular {exit_pattern:?}"), popular);
    }
}

#[test]
fn fatal_requests_are_quarantined_despite_node_and_relay_faults() {
    let faults = [
        FaultKind::Restarts,
        FaultKind::RelaysKilled,
        FaultKind::RelaysDark,
        FaultKind::ZoneCut,
        FaultKind::Pauses,
    ];
    for fault in faults {
        check(
            &format!("{fault:?}"),
            Scenario {
                fault,
                resets: 5,
                ..CALM
            },
        );
        let seldom = Scenario {
            max_interval_ms: 3_000,
            duration: Duration::from_secs(40),
            ..CALM
        };
        check(&format!("seldom {fault:?}"), Scenario { fault, ..seldom });
    }
}

#[test]
fn nodes_exchange_no_crash_calls_without_exits() {
    for report in run_seeds(
        "calm",
        Scenario {
            fatal: 0,
            resets: 20,
            ..CALM
        },
    ) {
        assert_eq!(report.calls, 0, "{report:?}");
    }
}

/// Requests with a fatal part at 46 nodes, no two alike; harmless ones of the same caller share their first parts.
const PARTS: Scenario = Scenario {
    fatal: 0,
    fatal_parts: 1,
    ..CALM
};

#[test]
fn one_fatal_part_is_quarantined() {
    check("part, often", PARTS);
    check(
        "part, at once",
        Scenario {
            max_interval_ms: 60,
            ..PARTS
        },
    );
    check(
        "part, seldom",
        Scenario {
            max_interval_ms: 6_000,
            duration: Duration::from_secs(60),
            ..PARTS
        },
    );
    check(
        "part, often with the same part behind it",
        Scenario {
            has_child_part: true,
            ..PARTS
        },
    );
    check(
        "part, names kept",
        Scenario {
            reuses_names: true,
            ..PARTS
        },
    );
}

/// Each caller's part is judged by itself: an identifier of a part is the caller's word.
#[test]
fn one_fatal_part_of_three_callers_is_quarantined_for_each() {
    check(
        "part of three callers",
        Scenario {
            callers: 3,
            max_interval_ms: 300,
            ..PARTS
        },
    );
}

#[test]
fn several_fatal_parts_are_quarantined() {
    check(
        "two parts",
        Scenario {
            fatal_parts: 2,
            ..PARTS
        },
    );
    check(
        "two parts and a request",
        Scenario {
            fatal: 1,
            fatal_parts: 2,
            ..PARTS
        },
    );
}

#[test]
fn fatal_parts_are_quarantined_despite_spontaneous_exits() {
    for exit_pattern in [
        ExitPattern::Single,
        ExitPattern::Mass,
        ExitPattern::Flapping,
    ] {
        check(
            &format!("part, {exit_pattern:?}"),
            Scenario {
                exit_pattern,
                ..PARTS
            },
        );
    }
}

#[test]
fn fatal_parts_are_quarantined_despite_faults() {
    for fault in [
        FaultKind::Restarts,
        FaultKind::RelaysKilled,
        FaultKind::RelaysDark,
        FaultKind::ZoneCut,
        FaultKind::Pauses,
    ] {
        check(
            &format!("part, {fault:?}"),
            Scenario {
                fault,
                duration: Duration::from_secs(40),
                ..PARTS
            },
        );
    }
}
