//! Which back ends may run a request: sets by selector, kept until the table changes.

use crate::endpoint::{EndpointIndex, EndpointTable};
use firshore_types::labels::Selector;
use std::collections::HashMap;
use xxhash_rust::xxh3::Xxh3;

/// Sets kept at once; beyond that all are built anew as they are asked for.
const MAXIMUM_SETS: usize = 1_024;

/// Identifies a conjunction of selectors by content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct SetKey(u64);

impl SetKey {
    /// The key of the conjunction of `selectors`.
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

/// Back ends at one distance.
#[derive(Clone, Debug)]
pub struct Tier {
    /// One-way distance in milliseconds.
    pub distance: f32,
    /// The back ends.
    pub members: Vec<EndpointIndex>,
}

/// Back ends that match some selectors, nearest tier first.
#[derive(Clone, Debug, Default)]
pub struct EligibleSet {
    /// Tiers by distance.
    pub tiers: Vec<Tier>,
}

impl EligibleSet {
    /// The back ends of `table` that match all of `selectors`.
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

    /// Whether `index` is one of them.
    pub fn contains(&self, index: EndpointIndex) -> bool {
        self.tiers
            .iter()
            .any(|tier| tier.members.binary_search(&index).is_ok())
    }
}

/// Sets by key, valid for one version of the table.
#[derive(Debug, Default)]
pub struct EligibleSets {
    version: u64,
    sets: HashMap<SetKey, EligibleSet>,
}

impl EligibleSets {
    /// The set of `selectors`, built if it is not at hand.
    pub fn get(
        &mut self,
        table: &EndpointTable,
        key: SetKey,
        selectors: &[&Selector],
    ) -> &EligibleSet {
        if self.version != table.version() || self.sets.len() >= MAXIMUM_SETS {
            self.sets.clear();
            self.version = table.version();
        }
        self.sets
            .entry(key)
            .or_insert_with(|| EligibleSet::build(table, selectors))
    }
}
