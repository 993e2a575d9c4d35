//! Which node owns an engine: rendezvous hashing over the live nodes of the engine's zone.

use crate::shared::Shared;
use firshore_membership::member::Member;
use firshore_types::hash::rendezvous_owner;
use firshore_types::ids::MachineName;
use firshore_types::machine::Machine;
use std::collections::BTreeMap;

/// An engine and the models that services declare for it.
pub(super) struct OwnedEngine {
    pub(super) machine: Machine,
    pub(super) models: Vec<String>,
}

/// The owner of `machine` among `members`; nodes of other zones stand in where its own has none.
fn choose<'a>(machine: &Machine, members: &'a [Member]) -> Option<&'a Member> {
    let in_zone = |member: &&Member| member.zone == machine.zone;
    let zone_has_nodes = members.iter().any(|member| in_zone(&member));
    let candidates = members
        .iter()
        .filter(|member| !zone_has_nodes || in_zone(member));
    let instances = candidates.map(|member| member.instance.0);
    let owner = rendezvous_owner(machine.name.as_str(), instances)?;
    members.iter().find(|member| member.instance.0 == owner)
}

/// The node that owns the engine of this name.
pub(crate) fn owner_of(shared: &Shared, engine: &MachineName) -> Option<Member> {
    let machines = shared.machines.read().clone();
    let machine = machines.iter().find(|machine| machine.name == *engine)?;
    let members = shared.members.lock().alive(shared.clock.now());
    choose(machine, &members).cloned()
}

/// The engines that this node owns.
pub(super) fn owned_engines(shared: &Shared) -> Vec<OwnedEngine> {
    let view = shared.configuration();
    let (members, own) = {
        let members = shared.members.lock();
        (members.alive(shared.clock.now()), members.own().instance)
    };
    let mut owned: BTreeMap<MachineName, OwnedEngine> = BTreeMap::new();
    for (_, service) in view.configuration.services() {
        let (Some(model), Some((_, pool))) = (&service.model, view.pool(service.pool.as_str()))
        else {
            continue;
        };
        for machine in shared.pool_machines(pool) {
            if choose(&machine, &members).is_none_or(|owner| owner.instance != own) {
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
