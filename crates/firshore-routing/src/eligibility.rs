//! The sets of back ends that may run a request, cached by selectors until the table changes.

use crate::endpoint::{EndpointIndex, EndpointTable};
use firshore_types::labels::Selector;
use std::collections::HashMap;
use xxhash_rust::xxh3::Xxh3;

/// Maximum number of cached sets. The cache is cleared when this is reached.
const MAX_CACHED_SETS: usize = 1_024;

/// Hash of a conjunction of selectors.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct SelectorKey(u64);

impl SelectorKey {
    /// Returns the key of the conjunction of `selectors`.
    pub fn of(selectors: &[&Selector]) -> Self {
        let mut hasher = Xxh3::new();
        for selector in selectors {
            hash_selector(&mut hasher, selector);
            hasher.update(&[0]);
        }
        Self(hasher.digest())
    }
}

fn hash_text(hasher: &mut Xxh3, text: &str) {
    hasher.update(&(text.len() as u32).to_le_bytes());
    hasher.update(text.as_bytes());
}

fn hash_selector(hasher: &mut Xxh3, selector: &Selector) {
    for (key, value) in &selector.match_labels {
        hash_text(hasher, key);
        hash_text(hasher, value);
    }
    for expression in &selector.match_expressions {
        hash_text(hasher, &expression.key);
        hasher.update(&[1, expression.operator as u8]);
        for value in &expression.values {
            hash_text(hasher, value);
        }
    }
}

/// The back ends at one distance.
#[derive(Clone, Debug)]
pub struct Tier {
    /// One-way network latency in milliseconds.
    pub distance: f32,
    /// Indexes of the back ends, in ascending order.
    pub members: Vec<EndpointIndex>,
}

/// The back ends that match a conjunction of selectors.
#[derive(Clone, Debug, Default)]
pub struct EligibleSet {
    /// The non-empty tiers, nearest first.
    pub tiers: Vec<Tier>,
}

impl EligibleSet {
    /// Collects the back ends of `table` that match all of `selectors`.
    pub fn build(table: &EndpointTable, selectors: &[&Selector]) -> Self {
        let mut set = Self::default();
        for index in table.indexes() {
            let endpoint = table.get(index);
            let matches = |selector: &&Selector| selector.matches(&endpoint.labels);
            if selectors.iter().all(matches) {
                set.insert(endpoint.distance, index);
            }
        }
        set.tiers
            .sort_by(|one, other| one.distance.total_cmp(&other.distance));
        set
    }

    fn insert(&mut self, distance: f32, index: EndpointIndex) {
        let tier = self.tiers.iter_mut().find(|tier| tier.distance == distance);
        match tier {
            Some(tier) => tier.members.push(index),
            None => self.tiers.push(Tier {
                distance,
                members: vec![index],
            }),
        }
    }

    /// Returns whether `index` is in the set.
    pub fn contains(&self, index: EndpointIndex) -> bool {
        self.tiers
            .iter()
            .any(|tier| tier.members.binary_search(&index).is_ok())
    }
}

/// A cache of [`EligibleSet`]s for one version of the table.
#[derive(Debug, Default)]
pub struct EligibleSetCache {
    version: u64,
    sets: HashMap<SelectorKey, EligibleSet>,
}

impl EligibleSetCache {
    /// Returns the set for `selectors`, building it if it is not cached. `key` must be the key of
    /// `selectors`.
    pub fn get_or_build(
        &mut self,
        table: &EndpointTable,
        key: SelectorKey,
        selectors: &[&Selector],
    ) -> &EligibleSet {
        if self.version != table.version() || self.sets.len() >= MAX_CACHED_SETS {
            self.sets.clear();
            self.version = table.version();
        }
        self.sets
            .entry(key)
            .or_insert_with(|| EligibleSet::build(table, selectors))
    }
}
