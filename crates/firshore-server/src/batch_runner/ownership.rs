//! Which engines this node owns: rendezvous hashing over the live nodes of the engine's zone.

use crate::shared::Shared;
use firshore_types::hash::rendezvous_owner;
use firshore_types::ids::MachineName;
use firshore_types::machine::Machine;
use std::collections::BTreeMap;

/// An engine and the models that services declare for it.
pub(super) struct OwnedEngine {
    pub(super) machine: Machine,
    pub(super) models: Vec<String>,
}

pub(super) fn owned_engines(shared: &Shared) -> Vec<OwnedEngine> {
    let view = shared.configuration();
    let (members, own) = {
        let members = shared.members.lock();
        (members.alive(shared.clock.now()), members.own().instance)
    };
    let owner_of = |machine: &Machine| {
        let same_zone = members.iter().filter(|member| member.zone == machine.zone);
        let same_zone: Vec<u64> = same_zone.map(|member| member.instance.0).collect();
        let everyone = members.iter().map(|member| member.instance.0);
        let candidates = if same_zone.is_empty() {
            everyone.collect()
        } else {
            same_zone
        };
        rendezvous_owner(machine.name.as_str(), candidates)
    };
    let mut owned: BTreeMap<MachineName, OwnedEngine> = BTreeMap::new();
    for (_, service) in view.configuration.services() {
        let (Some(model), Some((_, pool))) = (&service.model, view.pool(service.pool.as_str()))
        else {
            continue;
        };
        for machine in shared.pool_machines(pool) {
            if owner_of(&machine) != Some(own.0) {
                continue;
            }
            let entry = owned.entry(machine.name.clone());
            let engine = entry.or_insert_with(|| OwnedEngine {
                machine,
                models: Vec::new(),
            });
            engine.models.push(model.clone());
        }
    }
    owned.into_values().collect()
}
