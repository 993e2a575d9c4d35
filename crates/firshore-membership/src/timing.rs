//! Times, counts and sizes of the protocol.

/// Expected distance between two ticks, in milliseconds.
pub const TICK_MILLISECONDS: u64 = 100;

/// Distance between the starts of two probes of a healthy node, in milliseconds.
pub const PROBE_INTERVAL_MILLISECONDS: u64 = 1_000;

/// Time for a direct answer before other members are asked to probe, in milliseconds. Covers a
/// round trip between distant regions.
pub const DIRECT_TIMEOUT_MILLISECONDS: u64 = 400;

/// Members asked to probe a target that did not answer.
pub const INDIRECT_PROBES: usize = 3;

/// Time a suspect has to refute, in milliseconds, for each factor of ten in members.
pub const SUSPICION_MILLISECONDS: u64 = 3_000;

/// Highest local health score; timeouts grow by one part for each point (Lifeguard, section IV.A).
pub const MAXIMUM_LOCAL_HEALTH: u64 = 4;

/// Distance between two ticks, in milliseconds, from which the own process counts as having been
/// paused: its timers say nothing about others.
pub const PAUSE_MILLISECONDS: u64 = 1_000;

/// Pause, in milliseconds, after which the own view counts as stale and is pulled anew.
pub const STALE_MILLISECONDS: u64 = 3_000;

/// How long a failed member is remembered, in milliseconds, so that old rumours do not revive it.
pub const TOMBSTONE_MILLISECONDS: u64 = 600_000;

/// Distance between two comparisons of views, in milliseconds.
pub const COMPARE_INTERVAL_MILLISECONDS: u64 = 10_000;

/// One in so many comparisons crosses regions.
pub const REMOTE_COMPARISONS: u32 = 3;

/// Distance between two attempts to reach a failed member or an unknown seed, in milliseconds.
pub const RECONNECT_INTERVAL_MILLISECONDS: u64 = 10_000;

/// Distance between two pulls of a view while joining, in milliseconds.
pub const JOIN_INTERVAL_MILLISECONDS: u64 = 300;

/// Silence of another region, in milliseconds, after which its members get no work.
pub const REGION_SILENCE_MILLISECONDS: u64 = 30_000;

/// Unanswered probes that together with silence make a region unreachable.
pub const REGION_UNANSWERED_PROBES: u32 = 3;

/// Probes in a hundred that stay in the own zone.
pub const OWN_ZONE_PERCENT: u32 = 70;

/// Probes in a hundred that go to other zones of the own region; the rest cross regions.
pub const OWN_REGION_PERCENT: u32 = 20;

/// Transmissions of a rumour by one node for each factor of ten in members.
pub const TRANSMISSIONS_PER_DECADE: u32 = 4;

/// Most rumours waiting at a node; the most transmitted is dropped first.
pub const MAXIMUM_RUMOURS: usize = 1_024;

/// Most bytes of rumours in one message.
pub const MAXIMUM_RUMOUR_BYTES: usize = 1_000;

/// Bytes a second that a node spends on rumours and comparisons.
pub const BUDGET_BYTES_PER_SECOND: u64 = 4_000;

/// Bytes that an idle node saves up for a burst.
pub const BUDGET_BURST_BYTES: u64 = 120_000;

/// Bytes that comparisons and views leave for rumours.
pub const BUDGET_RESERVE_BYTES: usize = 20_000;

/// Groups of members that are compared by checksum.
pub const BUCKETS: usize = 64;

/// Most records in one message.
pub const MAXIMUM_RECORDS: usize = 128;

/// Members of the own zone that a node tells directly that it leaves or woke from a pause.
pub const ANNOUNCE_FANOUT: usize = 64;

/// Contacts that a joining node gets from a seed.
pub const JOIN_CONTACTS: usize = 8;
