//! Orders of a controller, fenced so that a deposed one is refused.

use crate::engine_model::{EngineSettings, Microseconds};
use firshore_types::declaration::EngineRole;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Fencing token: a later term beats any sequence of an earlier one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Fence {
    /// Term of the controller.
    pub term: u64,
    /// Number of the order in the term.
    pub sequence: u64,
}

/// What an engine can be told.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Order {
    /// Load a model.
    LoadModel {
        /// Model.
        model: String,
        /// Version.
        #[serde(default)]
        version: String,
    },
    /// Drop a model; its runs go on to their end.
    UnloadModel {
        /// Model.
        model: String,
    },
    /// Load an adapter.
    LoadAdapter {
        /// Adapter.
        adapter: String,
    },
    /// Take another version of a loaded model.
    SetVersion {
        /// Model.
        model: String,
        /// Version.
        version: String,
    },
    /// Take a role.
    SetRole {
        /// Role.
        role: EngineRole,
    },
}

/// What became of an accepted order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// It is in force.
    Done,
    /// The load has begun, or waits for the weight store.
    Loading,
}

quick_error! {
    /// The order came with an older fence than one already taken.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum StaleFence {
        /// Holds the fence in force.
        Held(fence: Fence) {
            display("The engine holds fence {}.{}. Only the current controller may order.", fence.term, fence.sequence)
        }
    }
}

enum LoadPhase {
    AwaitsStore,
    Until(Microseconds),
}

struct Load {
    order: Order,
    phase: LoadPhase,
}

/// Models, adapters, role and fence of an engine. Loads run one after the other.
pub(crate) struct Placement {
    fence: Fence,
    last: Option<Order>,
    pub(crate) role: EngineRole,
    takes_any_model: bool,
    models: BTreeMap<String, String>,
    adapters: BTreeSet<String>,
    load: Option<Load>,
    queued: VecDeque<Order>,
}

impl Placement {
    pub(crate) fn new(settings: &EngineSettings) -> Self {
        Self {
            fence: Fence::default(),
            last: None,
            role: settings.role,
            takes_any_model: settings.models.is_empty(),
            models: settings
                .models
                .iter()
                .map(|model| (model.clone(), String::new()))
                .collect(),
            adapters: BTreeSet::new(),
            load: None,
            queued: VecDeque::new(),
        }
    }

    pub(crate) fn serves(&self, model: &str) -> bool {
        self.takes_any_model || self.models.contains_key(model)
    }

    pub(crate) fn models(&self) -> Vec<String> {
        self.models.keys().cloned().collect()
    }

    /// Version of a loaded model.
    pub(crate) fn version(&self, model: &str) -> Option<&str> {
        self.models.get(model).map(String::as_str)
    }

    pub(crate) fn adapters(&self) -> Vec<String> {
        self.adapters.iter().cloned().collect()
    }

    /// The model whose weights are being fetched or awaited.
    pub(crate) fn loading(&self) -> Option<String> {
        match &self.load.as_ref()?.order {
            Order::LoadModel { model, .. } | Order::SetVersion { model, .. } => Some(model.clone()),
            _ => None,
        }
    }

    pub(crate) fn awaits_store(&self) -> bool {
        matches!(&self.load, Some(load) if matches!(load.phase, LoadPhase::AwaitsStore))
    }

    pub(crate) fn take(
        &mut self,
        now: Microseconds,
        fence: Fence,
        order: Order,
        settings: &EngineSettings,
    ) -> Result<OrderOutcome, StaleFence> {
        let repeated = fence == self.fence && self.last.as_ref() == Some(&order);
        if !repeated && fence <= self.fence {
            return Err(StaleFence::Held(self.fence));
        }
        if !repeated {
            self.fence = fence;
            self.last = Some(order.clone());
            self.apply(&order);
            self.start_next(now, settings);
        }
        let running = self.load.iter().map(|load| &load.order);
        let pending = running.chain(&self.queued).any(|one| *one == order);
        Ok(if pending {
            OrderOutcome::Loading
        } else {
            OrderOutcome::Done
        })
    }

    fn apply(&mut self, order: &Order) {
        match order {
            Order::UnloadModel { model } => {
                self.models.remove(model);
                self.takes_any_model = false;
            }
            Order::SetRole { role } => self.role = *role,
            Order::LoadAdapter { adapter } if self.adapters.contains(adapter) => {}
            Order::LoadModel { model, version } | Order::SetVersion { model, version }
                if self.models.get(model) == Some(version) => {}
            Order::LoadAdapter { .. } | Order::LoadModel { .. } | Order::SetVersion { .. } => {
                self.queued.push_back(order.clone());
            }
        }
    }

    fn start_next(&mut self, now: Microseconds, settings: &EngineSettings) {
        if self.load.is_some() {
            return;
        }
        let Some(order) = self.queued.pop_front() else {
            return;
        };
        let phase = match &order {
            Order::LoadAdapter { .. } => {
                LoadPhase::Until(now + settings.scaled(settings.adapter_load))
            }
            _ if settings.waits_for_weight_store => LoadPhase::AwaitsStore,
            _ => LoadPhase::Until(now + settings.scaled(settings.model_load)),
        };
        self.load = Some(Load { order, phase });
    }

    pub(crate) fn weights_granted(&mut self, now: Microseconds, settings: &EngineSettings) {
        if let Some(load) = &mut self.load
            && matches!(load.phase, LoadPhase::AwaitsStore)
        {
            load.phase = LoadPhase::Until(now + settings.scaled(settings.model_load));
        }
    }

    /// When the running load ends.
    pub(crate) fn wake(&self) -> Option<Microseconds> {
        match self.load.as_ref()?.phase {
            LoadPhase::Until(until) => Some(until),
            LoadPhase::AwaitsStore => None,
        }
    }

    pub(crate) fn step(&mut self, now: Microseconds, settings: &EngineSettings) {
        while let Some(until) = self.wake().filter(|until| *until <= now) {
            match self.load.take().map(|load| load.order) {
                Some(
                    Order::LoadModel { model, version } | Order::SetVersion { model, version },
                ) => {
                    self.models.insert(model, version);
                    self.takes_any_model = false;
                }
                Some(Order::LoadAdapter { adapter }) => {
                    self.adapters.insert(adapter);
                }
                _ => {}
            }
            self.start_next(until, settings);
        }
    }
}
