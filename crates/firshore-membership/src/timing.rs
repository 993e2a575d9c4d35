//! Intervals, timeouts, counts and sizes of the protocol.

/// Interval between two ticks, in milliseconds.
pub const TICK_MILLISECONDS: u64 = 100;

/// Interval between the starts of two probes by a healthy node, in milliseconds.
pub const PROBE_INTERVAL_MILLISECONDS: u64 = 1_000;

/// Timeout of a direct ping, after which other members are requested to ping the target, in
/// milliseconds. Longer than a round trip between distant regions.
pub const DIRECT_TIMEOUT_MILLISECONDS: u64 = 400;

/// Number of members requested to ping a target that didn't respond.
pub const INDIRECT_PROBES: usize = 3;

/// Time that a suspect has to refute, in milliseconds, for each factor of ten in members.
pub const SUSPICION_MILLISECONDS: u64 = 3_000;

/// Maximum of the local health score. Timeouts are multiplied by one plus the score (Lifeguard,
/// section IV.A).
pub const MAX_LOCAL_HEALTH: u64 = 4;

/// Gap between two steps, in milliseconds, from which the local process counts as paused. Its timers
/// then give no evidence about other nodes.
pub const MIN_PAUSE_MILLISECONDS: u64 = 1_000;

/// Length of a pause, in milliseconds, from which the local view is stale and is pulled again.
pub const STALE_PAUSE_MILLISECONDS: u64 = 3_000;

/// How long a failed member is kept, in milliseconds, so that old rumours don't add it again.
pub const TOMBSTONE_MILLISECONDS: u64 = 600_000;

/// Mean interval between two comparisons of views, in milliseconds.
pub const COMPARE_INTERVAL_MILLISECONDS: u64 = 10_000;

/// One in this many comparisons is with another region.
pub const REMOTE_COMPARISONS: u32 = 3;

/// Mean interval between two attempts to reach a failed member or a seed that is not a member, in
/// milliseconds.
pub const RECONNECT_INTERVAL_MILLISECONDS: u64 = 10_000;

/// Mean interval between two pulls of a view while joining, in milliseconds.
pub const JOIN_INTERVAL_MILLISECONDS: u64 = 300;

/// Time without a message from another region, in milliseconds, after which its members get no work.
pub const REGION_TIMEOUT_MILLISECONDS: u64 = 30_000;

/// Unanswered probes that, together with the timeout, make a region unreachable.
pub const REGION_UNANSWERED_PROBES: u32 = 3;

/// Percentage of probes that go to the local zone.
pub const LOCAL_ZONE_PERCENT: u32 = 70;

/// Percentage of probes that go to other zones of the local region; the rest go to other regions.
pub const LOCAL_REGION_PERCENT: u32 = 20;

/// Number of times that one node transmits a rumour, for each factor of ten in members.
pub const TRANSMISSIONS_PER_DECADE: u32 = 4;

/// Maximum number of queued rumours at a node; the most transmitted is dropped first.
pub const MAX_RUMOURS: usize = 1_024;

/// Maximum size of the queued rumours in one message, in bytes.
pub const MAX_RUMOUR_BYTES: usize = 1_000;

/// Bytes per second that a node may spend on rumours and comparisons.
pub const BUDGET_BYTES_PER_SECOND: u64 = 4_000;

/// Bytes that an idle node can accumulate for a burst.
pub const BUDGET_BURST_BYTES: u64 = 120_000;

/// Bytes of the budget that comparisons and views leave for rumours.
pub const BUDGET_RESERVE_BYTES: usize = 20_000;

/// Number of groups of members that are compared by checksum.
pub const BUCKETS: usize = 64;

/// Maximum number of records in one message.
pub const MAX_RECORDS: usize = 128;

/// Number of members of the local zone that a node notifies directly when it leaves or resumes after
/// a pause.
pub const ANNOUNCE_FANOUT: usize = 64;

/// Number of contacts that a joining node gets from a seed.
pub const JOIN_CONTACTS: usize = 8;
