//! Deployments, and events drawn from a seed.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Size and durability guarantee of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    /// Number of machines at the start, each with a disk.
    pub machines: usize,
    pub zones: usize,
    /// Number of disks that may be lost at the same time.
    pub losses: u32,
}

/// One event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A disk is lost; its machine restarts with an empty one.
    Wipe,
    /// As `Wipe`, for the disk of a voter.
    WipeVoter,
    /// A machine is retired; it is removed with its disk once it is reported as drained.
    Retire,
    /// As `Retire`, and another machine loses its disk right after the report.
    RetireThenWipe,
    /// A machine is isolated from the others; with `true`, from the store as well.
    Isolate(bool),
    /// About half of the machines are isolated.
    Split,
    /// A process is suspended.
    Freeze,
    /// The leader's process is suspended for the first time in milliseconds, and isolated from the other machines for
    /// the second.
    SuspendLeader(u64, u64),
    /// The running leader loses its disk; its machine restarts with an empty one.
    WipeLeader,
    /// A voter that follows is removed permanently; an empty machine with another name replaces it after this time in
    /// milliseconds.
    ReplaceFollower(u64),
    /// The machine added last loses its disk, and restarts with an empty one.
    WipeNewest,
    /// The leader's process is killed, and restarts after this time in milliseconds.
    KillLeader(u64),
    /// A process is killed and restarts.
    Kill,
    /// All processes stop at the same time and restart.
    PowerLoss,
    /// All machines lose power and one loses its disk.
    PowerLossThenWipe,
    /// A machine is removed permanently, and an empty one with another name replaces it.
    Replace,
    /// An empty machine is added.
    Add,
    StoreDown,
}

/// Events to choose from; repetition sets their relative frequency.
const EVENTS: [Event; 19] = [
    Event::Wipe,
    Event::WipeVoter,
    Event::WipeVoter,
    Event::WipeVoter,
    Event::Retire,
    Event::RetireThenWipe,
    Event::RetireThenWipe,
    Event::RetireThenWipe,
    Event::Isolate(false),
    Event::Isolate(true),
    Event::Isolate(false),
    Event::Split,
    Event::Freeze,
    Event::Kill,
    Event::PowerLoss,
    Event::PowerLossThenWipe,
    Event::Replace,
    Event::Add,
    Event::StoreDown,
];

/// Returns random events with their times in milliseconds, up to `until`.
pub fn random_events(random: &mut ChaCha8Rng, until: u64) -> Vec<(u64, Event)> {
    let mut events = Vec::new();
    let mut at = 3_000 + random.random_range(0..2_000);
    while at < until {
        let event = EVENTS[random.random_range(0..EVENTS.len())];
        events.push((at, event));
        // Half of the intervals are too short to recover in.
        at += match random.random_bool(0.5) {
            true => random.random_range(50..1_500),
            false => random.random_range(1_500..9_000),
        };
    }
    events
}
