//! What happens to the fleet, and how often.

/// A span of simulated time, in milliseconds after the warm-up.
#[derive(Clone, Copy, Debug)]
pub struct Span {
    /// Begin.
    pub from: u64,
    /// End.
    pub to: u64,
}

/// Rates and times of a run. Times are in simulated milliseconds.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Seed of everything random.
    pub seed: u64,
    /// Nodes.
    pub nodes: usize,
    /// Time to join before anything is measured.
    pub warm_up: u64,
    /// Measured time.
    pub duration: u64,
    /// Quiet time at the end, in which everything must converge.
    pub settle: u64,
    /// Frames lost, in percent.
    pub loss_percent: f64,
    /// Mean time between changes of the configuration.
    pub change_interval: u64,
    /// Changes in a hundred whose writer does not learn that they were committed.
    pub lost_answer_percent: u32,
    /// Mean time between crashes.
    pub crash_interval: u64,
    /// Mean time between planned restarts.
    pub restart_interval: u64,
    /// Mean time between pauses.
    pub pause_interval: u64,
    /// Outage of the object API.
    pub object_outage: Option<Span>,
    /// Cut of one region from the others.
    pub region_cut: Option<Span>,
}

/// Changes a day that the aim names.
const CHANGES_A_DAY: u64 = 11_000;

/// Failures a day that the aim names for [`AIM_NODES`].
const FAILURES_A_DAY: u64 = 32;

/// Restarts a day that the aim names for [`AIM_NODES`].
const RESTARTS_A_DAY: u64 = 310;

/// Nodes at the size of the aim.
pub const AIM_NODES: usize = 630;

const DAY: u64 = 86_400_000;
const SECOND: u64 = 1_000;

/// Factor on the mean rate of changes.
const BURST: u64 = 10;

impl Scenario {
    /// The aim's day pressed into `seconds`, on `nodes` nodes; failures and restarts are in
    /// proportion to the nodes, changes are not.
    pub fn aim(seed: u64, nodes: usize, seconds: u64) -> Self {
        let duration = seconds * SECOND;
        let share = |a_day: u64| (duration * AIM_NODES as u64) / (a_day * nodes as u64);
        Self {
            seed,
            nodes,
            warm_up: 60 * SECOND,
            duration,
            settle: 60 * SECOND,
            loss_percent: 2.0,
            change_interval: DAY / (CHANGES_A_DAY * BURST),
            lost_answer_percent: 10,
            crash_interval: share(FAILURES_A_DAY),
            restart_interval: share(RESTARTS_A_DAY),
            pause_interval: share(FAILURES_A_DAY),
            object_outage: Some(Span {
                from: duration / 5,
                to: duration * 2 / 5,
            }),
            region_cut: Some(Span {
                from: duration / 2,
                to: duration * 7 / 10,
            }),
        }
    }

    /// Failures so dense that each rule is tried within two minutes, for seeds in numbers.
    pub fn dense(seed: u64, nodes: usize) -> Self {
        Self {
            warm_up: 25 * SECOND,
            settle: 60 * SECOND,
            crash_interval: 15 * SECOND,
            restart_interval: 8 * SECOND,
            pause_interval: 20 * SECOND,
            object_outage: Some(Span {
                from: 10 * SECOND,
                to: 25 * SECOND,
            }),
            region_cut: Some(Span {
                from: 20 * SECOND,
                to: 45 * SECOND,
            }),
            ..Self::aim(seed, nodes, 60)
        }
    }
}
