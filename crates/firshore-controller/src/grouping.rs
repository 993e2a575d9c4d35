//! Groups a pool's engines by the policy whose role shares apply, with the models to serve.

use crate::plan::{EngineView, Group, ModelDemand};
use firshore_types::configuration::Configuration;
use firshore_types::declaration::{EngineRole, PolicySpec};
use firshore_types::labels::Labels;
use firshore_types::machine::Machine;
use std::collections::BTreeMap;

/// An engine of the pool with its latest report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportedEngine {
    /// Row of the machine list.
    pub machine: Machine,
    /// Latest report.
    pub view: EngineView,
}

/// Returns the groups of pool `pool`, one per policy. An engine's policy is the last by name that
/// sets role shares, whose `backends` match the engine, and whose `services` match a service
/// of the pool. Engines without a policy form a group whose roles stay unchanged.
pub fn groups(configuration: &Configuration, pool: &str, engines: &[ReportedEngine]) -> Vec<Group> {
    let services: Vec<&Labels> = configuration
        .services()
        .filter(|(_, spec)| spec.pool.as_str() == pool)
        .map(|(metadata, _)| &metadata.labels)
        .collect();
    let policies: Vec<&PolicySpec> = configuration
        .policies()
        .map(|(_, spec)| spec)
        .filter(|spec| !spec.role_shares.is_empty() && governs_pool(spec, &services))
        .collect();
    let models = models(configuration, pool);
    let mut groups: BTreeMap<Option<usize>, Vec<EngineView>> = BTreeMap::new();
    for engine in engines {
        let governing = policies.iter().rposition(|spec| {
            let backends = spec.backends.as_ref();
            backends.is_none_or(|selector| selector.matches(&engine.machine.labels))
        });
        groups
            .entry(governing)
            .or_default()
            .push(engine.view.clone());
    }
    groups
        .into_iter()
        .map(|(governing, engines)| Group {
            demand: demand(&models, &engines),
            shares: governing.map_or(BTreeMap::new(), |index| shares(policies[index])),
            engines,
        })
        .collect()
}

/// Returns whether any policy sets role shares; without one the controller isn't needed.
pub fn has_shares(configuration: &Configuration) -> bool {
    let mut policies = configuration.policies();
    policies.any(|(_, spec)| !spec.role_shares.is_empty())
}

fn governs_pool(spec: &PolicySpec, services: &[&Labels]) -> bool {
    let matches = |selector: &firshore_types::labels::Selector| {
        services.iter().any(|labels| selector.matches(labels))
    };
    spec.services.as_ref().is_none_or(matches)
}

fn shares(spec: &PolicySpec) -> BTreeMap<EngineRole, u8> {
    spec.role_shares.clone()
}

fn models(configuration: &Configuration, pool: &str) -> Vec<String> {
    let mut models: Vec<String> = configuration
        .services()
        .filter(|(_, spec)| spec.pool.as_str() == pool)
        .filter_map(|(_, spec)| spec.model.clone())
        .collect();
    models.sort();
    models.dedup();
    models
}

/// Computes the demand for each model; an engine's requests are split equally among its models.
fn demand(models: &[String], engines: &[EngineView]) -> Vec<ModelDemand> {
    let weight = |model: &String| {
        let holding = engines
            .iter()
            .filter(|engine| engine.models.contains(model));
        holding
            .map(|engine| u64::from(engine.busy) * 1_000 / engine.models.len() as u64)
            .sum()
    };
    models
        .iter()
        .map(|model| ModelDemand {
            model: model.clone(),
            weight: weight(model),
        })
        .collect()
}
