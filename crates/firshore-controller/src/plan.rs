//! Targets for a group of engines, and the orders that approach them.

use crate::coverage::Coverage;
use crate::order::Order;
use firshore_types::declaration::EngineRole;
use firshore_types::ids::MachineName;
use std::collections::{BTreeMap, BTreeSet};

/// Accepted difference between engines and target, so that small changes in demand don't load and
/// unload models repeatedly.
pub const MODEL_HYSTERESIS: usize = 1;

/// An engine as it last reported.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineView {
    /// Name.
    pub name: MachineName,
    /// Role in force.
    pub role: EngineRole,
    /// Models loaded; empty on an engine that serves any.
    pub models: Vec<String>,
    /// Requests running and waiting.
    pub busy: u32,
    /// Whether it is live, accepts new work and reported recently.
    pub available: bool,
}

/// Demand for a model, in any unit that is the same for all models of a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelDemand {
    /// Model.
    pub model: String,
    /// Weight.
    pub weight: u64,
}

/// Engines of a pool that one policy governs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Group {
    /// Engines.
    pub engines: Vec<EngineView>,
    /// Share of each role in percent, adding up to 100; empty leaves roles alone.
    pub shares: BTreeMap<EngineRole, u8>,
    /// Every model that the pool's services need, with its demand.
    pub demand: Vec<ModelDemand>,
}

/// An order of the plan and the engine that receives it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedOrder {
    /// Receiver.
    pub engine: MachineName,
    /// Content.
    pub order: Order,
}

/// Divides `count` in proportion to `weights` by largest remainder, with at least one for each
/// positive weight if `count` suffices. Ties go to the earlier weight.
pub fn apportion(weights: &[u64], count: usize) -> Vec<usize> {
    let positive = weights.iter().filter(|weight| **weight > 0).count();
    let total: u128 = weights.iter().map(|weight| u128::from(*weight)).sum();
    if total == 0 {
        return vec![0; weights.len()];
    }
    let minimum = usize::from(positive <= count);
    let spare = (count - minimum * positive) as u128;
    let mut parts = Vec::new();
    let mut remainders = Vec::new();
    for (index, weight) in weights.iter().enumerate() {
        let exact = spare * u128::from(*weight);
        let guaranteed = if *weight > 0 { minimum } else { 0 };
        parts.push((exact / total) as usize + guaranteed);
        remainders.push((std::cmp::Reverse(exact % total), index));
    }
    remainders.sort();
    let left = count - parts.iter().sum::<usize>();
    for (_, index) in remainders.into_iter().take(left) {
        parts[index] += 1;
    }
    parts
}

impl Group {
    /// Returns the target number of engines in each role. With fewer engines than roles all are
    /// mixed, so that each role in the shares is covered.
    pub fn role_targets(&self) -> BTreeMap<EngineRole, usize> {
        let count = self.engines.len();
        let requested: Vec<(EngineRole, u8)> = self
            .shares
            .iter()
            .filter(|(_, share)| **share > 0)
            .map(|(role, share)| (*role, *share))
            .collect();
        if requested.is_empty() {
            return BTreeMap::new();
        }
        if count < requested.len() {
            return BTreeMap::from([(EngineRole::Mixed, count)]);
        }
        let weights: Vec<u64> = requested
            .iter()
            .map(|(_, share)| u64::from(*share))
            .collect();
        let parts = apportion(&weights, count);
        requested
            .into_iter()
            .map(|(role, _)| role)
            .zip(parts)
            .collect()
    }

    /// Returns the target number of engines for each model.
    pub fn model_targets(&self) -> BTreeMap<String, usize> {
        // A model without demand still gets one engine.
        let weights: Vec<u64> = self.demand.iter().map(|one| one.weight.max(1)).collect();
        let parts = apportion(&weights, self.engines.len());
        let models = self.demand.iter().map(|one| one.model.clone());
        models.zip(parts).collect()
    }

    /// Returns the next safe orders, at most one for each engine, the most important first.
    /// Engines in `busy` have a pending order and count as unavailable.
    pub fn plan(&self, busy: &BTreeSet<MachineName>) -> Vec<PlannedOrder> {
        let mut coverage = Coverage::of(self, busy);
        let mut planned = Vec::new();
        self.plan_loads(busy, &mut planned);
        self.plan_roles(busy, &mut coverage, &mut planned);
        self.plan_unloads(busy, &mut coverage, &mut planned);
        planned
    }

    fn idle_first<'a>(
        &'a self,
        busy: &'a BTreeSet<MachineName>,
        planned: &[PlannedOrder],
    ) -> Vec<&'a EngineView> {
        let mut engines: Vec<&EngineView> = self
            .engines
            .iter()
            .filter(|engine| engine.available && !busy.contains(&engine.name))
            .filter(|engine| planned.iter().all(|one| one.engine != engine.name))
            .collect();
        engines.sort_by(|one, other| (one.busy, &one.name).cmp(&(other.busy, &other.name)));
        engines
    }

    fn holders(&self, model: &str) -> usize {
        let holds = |engine: &&EngineView| engine.models.iter().any(|held| held == model);
        self.engines.iter().filter(holds).count()
    }

    fn has_loaded_models(&self) -> bool {
        self.engines.iter().any(|engine| !engine.models.is_empty())
    }

    /// Loads models below their target on the engines with the fewest models.
    fn plan_loads(&self, busy: &BTreeSet<MachineName>, planned: &mut Vec<PlannedOrder>) {
        if !self.has_loaded_models() {
            return;
        }
        for (model, target) in self.model_targets() {
            let held = self.holders(&model);
            let enough = held > 0 && held + MODEL_HYSTERESIS >= target;
            if enough {
                continue;
            }
            let mut engines = self.idle_first(busy, planned);
            engines.retain(|engine| !engine.models.is_empty() && !engine.models.contains(&model));
            engines.sort_by_key(|engine| engine.models.len());
            for engine in engines.into_iter().take(target - held) {
                planned.push(PlannedOrder {
                    engine: engine.name.clone(),
                    order: Order::LoadModel {
                        model: model.clone(),
                    },
                });
            }
        }
    }

    fn plan_roles(
        &self,
        busy: &BTreeSet<MachineName>,
        coverage: &mut Coverage,
        planned: &mut Vec<PlannedOrder>,
    ) {
        let targets = self.role_targets();
        if targets.is_empty() {
            return;
        }
        let mut counts: BTreeMap<EngineRole, usize> = BTreeMap::new();
        for engine in &self.engines {
            *counts.entry(engine.role).or_default() += 1;
        }
        for engine in self.idle_first(busy, planned) {
            let target = targets.get(&engine.role).copied().unwrap_or(0);
            if counts[&engine.role] <= target {
                continue;
            }
            let wanted = targets
                .iter()
                .find(|(role, target)| counts.get(role).copied().unwrap_or(0) < **target);
            let Some((role, _)) = wanted else { return };
            if !coverage.can_change_role(engine, *role) {
                continue;
            }
            coverage.remove(engine);
            *counts.get_mut(&engine.role).expect("counted") -= 1;
            *counts.entry(*role).or_default() += 1;
            planned.push(PlannedOrder {
                engine: engine.name.clone(),
                order: Order::SetRole { role: *role },
            });
        }
    }

    /// Unloads models above their target from engines with more than one model.
    fn plan_unloads(
        &self,
        busy: &BTreeSet<MachineName>,
        coverage: &mut Coverage,
        planned: &mut Vec<PlannedOrder>,
    ) {
        let targets = self.model_targets();
        let mut held: BTreeMap<&str, usize> = BTreeMap::new();
        for model in targets.keys() {
            held.insert(model, self.holders(model));
        }
        for engine in self.idle_first(busy, planned) {
            let surplus = engine.models.iter().find(|model| {
                let target = targets.get(*model).copied().unwrap_or(0);
                let holders = held.get(model.as_str()).copied().unwrap_or(usize::MAX);
                holders > target + MODEL_HYSTERESIS
            });
            let Some(model) = surplus else { continue };
            if engine.models.len() < 2 || !coverage.can_drop_model(engine, model) {
                continue;
            }
            coverage.remove(engine);
            if let Some(count) = held.get_mut(model.as_str()) {
                *count -= 1;
            }
            planned.push(PlannedOrder {
                engine: engine.name.clone(),
                order: Order::UnloadModel {
                    model: model.clone(),
                },
            });
        }
    }
}
