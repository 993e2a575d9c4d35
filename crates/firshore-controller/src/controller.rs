//! The controller of one pool: sends planned orders under the term of its journal group's leader.

use crate::order::{Fence, FencedOrder, Order};
use crate::plan::{EngineView, Group};
use firshore_types::ids::MachineName;
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of pending orders in a pool.
pub const MAX_CONCURRENT_ORDERS: usize = 8;

/// Maximum number of pending orders in a pool that read from the rate-limited weight store.
pub const MAX_CONCURRENT_LOADS: usize = 2;

/// Milliseconds after which an unacknowledged order is sent again with the same token.
pub const RESEND_MILLISECONDS: u64 = 2_000;

/// Milliseconds within which an engine must report the effect of an order before it is planned
/// again; allows for the delay of reports.
pub const ROLE_EFFECT_MILLISECONDS: u64 = 15_000;

/// Same limit for orders that load a model, in milliseconds.
pub const LOAD_EFFECT_MILLISECONDS: u64 = 600_000;

/// Input of the controller.
#[derive(Clone, Debug)]
pub enum Input {
    /// This node leads the pool's journal group under `term`.
    Lead {
        /// Term.
        term: u64,
    },
    /// This node no longer leads.
    Follow,
    /// Current reports of the engines, grouped by policy.
    Tick(Vec<Group>),
    /// An engine responded to an order.
    Answered {
        /// Engine.
        engine: MachineName,
        /// Token of the order.
        fence: Fence,
        /// Response.
        answer: Answer,
    },
}

/// An engine's response to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The engine accepted the order or has carried it out.
    Taken,
    /// The engine has a newer token.
    Stale(Fence),
    /// No valid response; the engine may have accepted the order.
    Lost,
}

/// Output of the controller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send an order and pass the response as [`Input::Answered`].
    Send {
        /// Receiver.
        engine: MachineName,
        /// Order.
        order: FencedOrder,
    },
    /// A controller of a later term sends orders to the engines; this one stops.
    Deposed {
        /// Newer token that an engine has.
        held: Fence,
    },
}

#[derive(Clone, Debug)]
struct PendingOrder {
    order: FencedOrder,
    first_sent_at: u64,
    sent_at: u64,
    accepted: bool,
}

impl PendingOrder {
    fn has_effect(&self, engine: &EngineView) -> bool {
        match &self.order.order {
            Order::SetRole { role } => engine.role == *role,
            Order::LoadModel { model } => engine.models.contains(model),
            Order::UnloadModel { model } => !engine.models.contains(model),
        }
    }

    fn is_overdue(&self, now: u64) -> bool {
        let allowed = if self.order.order.reads_weight_store() {
            LOAD_EFFECT_MILLISECONDS
        } else {
            ROLE_EFFECT_MILLISECONDS
        };
        now.saturating_sub(self.first_sent_at) > allowed
    }
}

/// Controller of one pool.
#[derive(Debug, Default)]
pub struct Controller {
    /// Term in which this node leads; `None` while it doesn't lead.
    term: Option<u64>,
    /// Later term that an engine reported; leading under an earlier term is refused.
    deposed_by: Option<u64>,
    sequence: u64,
    pending: BTreeMap<MachineName, PendingOrder>,
}

impl Controller {
    /// Returns whether this controller sends orders.
    pub fn is_leading(&self) -> bool {
        self.term.is_some()
    }

    /// Returns the number of orders without a reported effect.
    pub fn pending_orders(&self) -> usize {
        self.pending.len()
    }

    /// Advances the controller to `now` (milliseconds of a monotonic clock).
    pub fn step(&mut self, now: u64, input: Input) -> Vec<Output> {
        match input {
            Input::Lead { term } => self.lead(term),
            Input::Follow => {
                self.term = None;
                self.pending.clear();
                Vec::new()
            }
            Input::Tick(groups) => self.tick(now, &groups),
            Input::Answered {
                engine,
                fence,
                answer,
            } => self.handle_response(&engine, fence, answer),
        }
    }

    fn lead(&mut self, term: u64) -> Vec<Output> {
        let is_over = self.deposed_by.is_some_and(|newer| term < newer);
        if !is_over && self.term != Some(term) {
            self.term = Some(term);
            self.sequence = 0;
            self.pending.clear();
        }
        Vec::new()
    }

    fn tick(&mut self, now: u64, groups: &[Group]) -> Vec<Output> {
        let Some(term) = self.term else {
            return Vec::new();
        };
        self.drop_settled(now, groups);
        let mut outputs = self.resend(now);
        for group in groups {
            let busy: BTreeSet<MachineName> = self.pending.keys().cloned().collect();
            for planned in group.plan(&busy) {
                if !self.has_capacity_for(&planned.order) {
                    continue;
                }
                self.sequence += 1;
                let fence = Fence {
                    term,
                    sequence: self.sequence,
                };
                let order = FencedOrder {
                    fence,
                    order: planned.order,
                };
                self.pending.insert(
                    planned.engine.clone(),
                    PendingOrder {
                        order: order.clone(),
                        first_sent_at: now,
                        sent_at: now,
                        accepted: false,
                    },
                );
                let engine = planned.engine;
                outputs.push(Output::Send { engine, order });
            }
        }
        outputs
    }

    /// Drops orders that took effect, are overdue or whose engine was removed.
    fn drop_settled(&mut self, now: u64, groups: &[Group]) {
        let engines: BTreeMap<&MachineName, &EngineView> = groups
            .iter()
            .flat_map(|group| &group.engines)
            .map(|engine| (&engine.name, engine))
            .collect();
        self.pending.retain(|name, pending| {
            let Some(engine) = engines.get(name) else {
                return false;
            };
            !pending.has_effect(engine) && !pending.is_overdue(now)
        });
    }

    fn resend(&mut self, now: u64) -> Vec<Output> {
        let mut outputs = Vec::new();
        for (engine, pending) in &mut self.pending {
            let due = now.saturating_sub(pending.sent_at) >= RESEND_MILLISECONDS;
            if pending.accepted || !due {
                continue;
            }
            pending.sent_at = now;
            outputs.push(Output::Send {
                engine: engine.clone(),
                order: pending.order.clone(),
            });
        }
        outputs
    }

    fn has_capacity_for(&self, order: &Order) -> bool {
        let loads = self
            .pending
            .values()
            .filter(|pending| pending.order.order.reads_weight_store())
            .count();
        let load_fits = !order.reads_weight_store() || loads < MAX_CONCURRENT_LOADS;
        load_fits && self.pending.len() < MAX_CONCURRENT_ORDERS
    }

    fn handle_response(
        &mut self,
        engine: &MachineName,
        fence: Fence,
        answer: Answer,
    ) -> Vec<Output> {
        let Some(term) = self.term else {
            return Vec::new();
        };
        match answer {
            Answer::Stale(held) if held.term > term => {
                self.term = None;
                self.deposed_by = Some(held.term);
                self.pending.clear();
                return vec![Output::Deposed { held }];
            }
            Answer::Stale(held) => {
                // The engine has a newer order of this term that this controller has dropped.
                self.sequence = self.sequence.max(held.sequence);
                self.pending.remove(engine);
            }
            Answer::Taken => {
                let current = self.pending.get_mut(engine);
                if let Some(pending) = current.filter(|one| one.order.fence == fence) {
                    pending.accepted = true;
                }
            }
            Answer::Lost => {}
        }
        Vec::new()
    }
}
