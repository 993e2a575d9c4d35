//! Power of two choices over the work that this node has outstanding at each back end.

use firshore_types::ids::MachineName;
use rand::RngExt;
use std::collections::HashMap;

/// Outstanding requests by back end.
#[derive(Debug, Default)]
pub struct Balancer {
    outstanding: HashMap<MachineName, u32>,
}

impl Balancer {
    /// Chooses among `candidates`, nearest tier only, and counts the request as outstanding.
    pub fn choose(
        &mut self,
        candidates: &[MachineName],
        random: &mut impl RngExt,
    ) -> Option<MachineName> {
        if candidates.is_empty() {
            return None;
        }
        let first = &candidates[random.random_range(0..candidates.len())];
        let second = &candidates[random.random_range(0..candidates.len())];
        let load = |name: &MachineName| self.outstanding.get(name).copied().unwrap_or(0);
        let chosen = if load(second) < load(first) {
            second
        } else {
            first
        };
        *self.outstanding.entry(chosen.clone()).or_default() += 1;
        Some(chosen.clone())
    }

    /// Counts a request at `name` as ended.
    pub fn ended(&mut self, name: &MachineName) {
        if let Some(count) = self.outstanding.get_mut(name) {
            *count = count.saturating_sub(1);
        }
    }
}
