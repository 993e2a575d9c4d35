//! How much goes wrong in a simulation.

/// Rates and durations of faults. Times are in simulated milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    /// Share of messages lost.
    pub loss: f64,
    /// Share of messages delivered twice.
    pub duplication: f64,
    /// Longest delay of a message; delays are uniform, so messages overtake one another.
    pub longest_delay: u64,
    /// Share of writes during which the host crashes, before or after they are durable.
    pub crash_at_write: f64,
    /// Mean time between faults of a whole host or the network.
    pub fault_interval: u64,
    /// Longest pause of a host; far longer than election timeouts.
    pub longest_pause: u64,
    /// Longest time that a crashed host stays away.
    pub longest_outage: u64,
    /// Longest partition.
    pub longest_partition: u64,
    /// Time with faults.
    pub turmoil: u64,
    /// Time without faults afterwards, in which the group must recover.
    pub calm: u64,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            loss: 0.05,
            duplication: 0.05,
            longest_delay: 60,
            crash_at_write: 0.001,
            fault_interval: 1_500,
            longest_pause: 6_000,
            longest_outage: 8_000,
            longest_partition: 6_000,
            turmoil: 60_000,
            calm: 40_000,
        }
    }
}
