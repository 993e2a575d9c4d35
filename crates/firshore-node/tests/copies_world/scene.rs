//! What happens to the machines, drawn from a seed.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// A deployment.
#[derive(Clone, Copy, Debug)]
pub struct Sheet {
    /// Machines with a disk at the start.
    pub machines: usize,
    pub zones: usize,
    /// Disks that may be lost at once.
    pub losses: u32,
}

/// One event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A disk is lost; its machine comes back with an empty one.
    Wipe,
    /// The same, of a machine that votes.
    WipeVoter,
    /// A machine is to be emptied; once it is reported so it goes with its disk.
    Retire,
    /// The same, and another machine loses its disk right after the report.
    RetireThenWipe,
    /// A machine is cut from the others; with `true`, from the store as well.
    Cut(bool),
    /// The machines are cut into two halves.
    Split,
    Freeze,
    Kill,
    /// All machines lose power.
    PowerLoss,
    /// All machines lose power and one loses its disk.
    PowerLossThenWipe,
    /// A machine goes for good, and an empty one comes in its place under another name.
    Replace,
    /// An empty machine is added.
    Add,
    StoreDown,
}

/// Events of each kind, by how often they come.
const EVENTS: [Event; 19] = [
    Event::Wipe,
    Event::WipeVoter,
    Event::WipeVoter,
    Event::WipeVoter,
    Event::Retire,
    Event::RetireThenWipe,
    Event::RetireThenWipe,
    Event::RetireThenWipe,
    Event::Cut(false),
    Event::Cut(true),
    Event::Cut(false),
    Event::Split,
    Event::Freeze,
    Event::Kill,
    Event::PowerLoss,
    Event::PowerLossThenWipe,
    Event::Replace,
    Event::Add,
    Event::StoreDown,
];

/// Events with the milliseconds at which they come.
pub fn draw(random: &mut ChaCha8Rng, until: u64) -> Vec<(u64, Event)> {
    let mut events = Vec::new();
    let mut at = 3_000 + random.random_range(0..2_000);
    while at < until {
        let event = EVENTS[random.random_range(0..EVENTS.len())];
        events.push((at, event));
        // Often close together, now and then with time to recover.
        at += match random.random_bool(0.5) {
            true => random.random_range(50..1_500),
            false => random.random_range(1_500..9_000),
        };
    }
    events
}
