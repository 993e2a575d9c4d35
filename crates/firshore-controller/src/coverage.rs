//! Work that a group's engines accept, to prevent changes that remove the last engine for it.

use crate::plan::{EngineView, Group};
use firshore_types::declaration::EngineRole;
use firshore_types::ids::MachineName;
use std::collections::{BTreeMap, BTreeSet};

/// Kind of work that an engine accepts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Work {
    /// Online requests.
    Online,
    /// Batch items.
    Batch,
}

/// Returns the work that an engine in `role` accepts.
pub fn work_of(role: EngineRole) -> &'static [Work] {
    match role {
        EngineRole::Mixed => &[Work::Online, Work::Batch],
        EngineRole::Online => &[Work::Online],
        EngineRole::Batch => &[Work::Batch],
    }
}

/// Counts, for each model and kind of work, the engines that currently accept it.
#[derive(Debug)]
pub struct Coverage {
    models: Vec<String>,
    wanted: BTreeSet<Work>,
    counts: BTreeMap<(String, Work), usize>,
    counted: BTreeSet<MachineName>,
}

impl Coverage {
    /// Computes the coverage by available engines that are not in `busy`.
    pub fn of(group: &Group, busy: &BTreeSet<MachineName>) -> Self {
        let targets = group.role_targets();
        let wanted = targets
            .iter()
            .filter(|(_, target)| **target > 0)
            .flat_map(|(role, _)| work_of(*role).iter().copied())
            .collect();
        let mut coverage = Self {
            models: group.demand.iter().map(|one| one.model.clone()).collect(),
            wanted,
            counts: BTreeMap::new(),
            counted: BTreeSet::new(),
        };
        for engine in &group.engines {
            if engine.available && !busy.contains(&engine.name) {
                coverage.add(engine);
            }
        }
        coverage
    }

    fn models_of(&self, engine: &EngineView) -> Vec<String> {
        if engine.models.is_empty() {
            return self.models.clone();
        }
        engine.models.clone()
    }

    fn add(&mut self, engine: &EngineView) {
        for model in self.models_of(engine) {
            for work in work_of(engine.role) {
                *self.counts.entry((model.clone(), *work)).or_default() += 1;
            }
        }
        self.counted.insert(engine.name.clone());
    }

    /// Removes an engine from the counts.
    pub fn remove(&mut self, engine: &EngineView) {
        if !self.counted.remove(&engine.name) {
            return;
        }
        for model in self.models_of(engine) {
            for work in work_of(engine.role) {
                if let Some(count) = self.counts.get_mut(&(model.clone(), *work)) {
                    *count -= 1;
                }
            }
        }
    }

    /// Returns whether an engine other than `engine` accepts this work.
    fn is_covered_without(&self, engine: &EngineView, model: &str, work: Work) -> bool {
        let self_count = usize::from(self.counted.contains(&engine.name));
        let count = self.counts.get(&(model.to_owned(), work)).copied();
        count.unwrap_or(0) > self_count
    }

    /// Returns whether all wanted work of `engine`'s models stays covered when it changes to `role`.
    pub fn can_change_role(&self, engine: &EngineView, role: EngineRole) -> bool {
        let kept = work_of(role);
        let lost = work_of(engine.role)
            .iter()
            .filter(|work| self.wanted.contains(work) && !kept.contains(work));
        let mut models = self.models_of(engine);
        models.retain(|model| self.models.contains(model));
        lost.into_iter().all(|work| {
            models
                .iter()
                .all(|model| self.is_covered_without(engine, model, *work))
        })
    }

    /// Returns whether all work of `model` stays covered when `engine` unloads it.
    pub fn can_drop_model(&self, engine: &EngineView, model: &str) -> bool {
        let needed = self.models.iter().any(|needed| needed == model);
        !needed
            || work_of(engine.role)
                .iter()
                .all(|work| self.is_covered_without(engine, model, *work))
    }
}
