//! The controller of one pool: sends planned orders under the term of its journal group's leader.

use crate::order::{Fence, FencedOrder, Order};
use crate::plan::{EngineView, Group};
use firshore_types::ids::MachineName;
use std::collections::{BTreeMap, BTreeSet};

/// Orders under way at once in a pool.
pub const ORDERS_AT_ONCE: usize = 8;

/// Orders under way at once in a pool that draw on the weight store, whose rate is limited.
pub const LOADS_AT_ONCE: usize = 2;

/// Milliseconds after which an unanswered order is sent again under the same token.
pub const RESEND_MILLISECONDS: u64 = 2_000;

/// Milliseconds in which an engine must report the effect of an order; then it is planned anew.
/// Reports lag.
pub const ROLE_EFFECT_MILLISECONDS: u64 = 15_000;

/// The same for orders that load a model.
pub const LOAD_EFFECT_MILLISECONDS: u64 = 600_000;

/// What happened.
#[derive(Clone, Debug)]
pub enum Input {
    /// This node leads the pool's journal group under `term`.
    Lead {
        /// Term.
        term: u64,
    },
    /// This node no longer leads.
    Follow,
    /// The engines as they report now, by governing policy.
    Tick(Vec<Group>),
    /// An engine answered an order.
    Answered {
        /// Engine.
        engine: MachineName,
        /// Token of the order.
        fence: Fence,
        /// Answer.
        answer: Answer,
    },
}

/// An engine's answer to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// It carries the order out, or has.
    Taken,
    /// It holds a newer token.
    Stale(Fence),
    /// No answer, or none that is understood; the order may have been taken.
    Lost,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send an order and report the answer by [`Input::Answered`].
    Send {
        /// Receiver.
        engine: MachineName,
        /// Order.
        order: FencedOrder,
    },
    /// Another controller, of a later term, commands the engines; this one gives no more orders.
    Deposed {
        /// Token that showed it.
        held: Fence,
    },
}

#[derive(Clone, Debug)]
struct UnderWay {
    order: FencedOrder,
    first_sent_at: u64,
    sent_at: u64,
    taken: bool,
}

impl UnderWay {
    fn has_effect(&self, engine: &EngineView) -> bool {
        match &self.order.order {
            Order::SetRole { role } => engine.role == *role,
            Order::LoadModel { model } => engine.models.contains(model),
            Order::UnloadModel { model } => !engine.models.contains(model),
        }
    }

    fn is_overdue(&self, now: u64) -> bool {
        let allowed = if self.order.order.draws_weights() {
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
    /// Term in which it leads; `None` while it does not.
    term: Option<u64>,
    /// Latest term known to command engines; leading under an earlier one is over.
    deposed_by: Option<u64>,
    sequence: u64,
    under_way: BTreeMap<MachineName, UnderWay>,
}

impl Controller {
    /// Whether it gives orders.
    pub fn is_leading(&self) -> bool {
        self.term.is_some()
    }

    /// Orders whose effect has not shown yet.
    pub fn orders_under_way(&self) -> usize {
        self.under_way.len()
    }

    /// Advances the controller to `now` (milliseconds on any monotone clock).
    pub fn step(&mut self, now: u64, input: Input) -> Vec<Output> {
        match input {
            Input::Lead { term } => self.lead(term),
            Input::Follow => {
                self.term = None;
                self.under_way.clear();
                Vec::new()
            }
            Input::Tick(groups) => self.tick(now, &groups),
            Input::Answered {
                engine,
                fence,
                answer,
            } => self.answered(&engine, fence, answer),
        }
    }

    fn lead(&mut self, term: u64) -> Vec<Output> {
        let is_over = self.deposed_by.is_some_and(|newer| term < newer);
        if !is_over && self.term != Some(term) {
            self.term = Some(term);
            self.sequence = 0;
            self.under_way.clear();
        }
        Vec::new()
    }

    fn tick(&mut self, now: u64, groups: &[Group]) -> Vec<Output> {
        let Some(term) = self.term else {
            return Vec::new();
        };
        self.settle(now, groups);
        let mut outputs = self.resend(now);
        for group in groups {
            let busy: BTreeSet<MachineName> = self.under_way.keys().cloned().collect();
            for planned in group.plan(&busy) {
                if !self.has_room_for(&planned.order) {
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
                self.under_way.insert(
                    planned.engine.clone(),
                    UnderWay {
                        order: order.clone(),
                        first_sent_at: now,
                        sent_at: now,
                        taken: false,
                    },
                );
                let engine = planned.engine;
                outputs.push(Output::Send { engine, order });
            }
        }
        outputs
    }

    /// Forgets orders that show their effect, or never did, or whose engine is gone.
    fn settle(&mut self, now: u64, groups: &[Group]) {
        let engines: BTreeMap<&MachineName, &EngineView> = groups
            .iter()
            .flat_map(|group| &group.engines)
            .map(|engine| (&engine.name, engine))
            .collect();
        self.under_way.retain(|name, under_way| {
            let Some(engine) = engines.get(name) else {
                return false;
            };
            !under_way.has_effect(engine) && !under_way.is_overdue(now)
        });
    }

    fn resend(&mut self, now: u64) -> Vec<Output> {
        let mut outputs = Vec::new();
        for (engine, under_way) in &mut self.under_way {
            let due = now.saturating_sub(under_way.sent_at) >= RESEND_MILLISECONDS;
            if under_way.taken || !due {
                continue;
            }
            under_way.sent_at = now;
            outputs.push(Output::Send {
                engine: engine.clone(),
                order: under_way.order.clone(),
            });
        }
        outputs
    }

    fn has_room_for(&self, order: &Order) -> bool {
        let loads = self
            .under_way
            .values()
            .filter(|under_way| under_way.order.order.draws_weights())
            .count();
        let load_fits = !order.draws_weights() || loads < LOADS_AT_ONCE;
        load_fits && self.under_way.len() < ORDERS_AT_ONCE
    }

    fn answered(&mut self, engine: &MachineName, fence: Fence, answer: Answer) -> Vec<Output> {
        let Some(term) = self.term else {
            return Vec::new();
        };
        match answer {
            Answer::Stale(held) if held.term > term => {
                self.term = None;
                self.deposed_by = Some(held.term);
                self.under_way.clear();
                return vec![Output::Deposed { held }];
            }
            Answer::Stale(held) => {
                // An order of this term that this controller no longer remembers.
                self.sequence = self.sequence.max(held.sequence);
                self.under_way.remove(engine);
            }
            Answer::Taken => {
                let current = self.under_way.get_mut(engine);
                if let Some(under_way) = current.filter(|one| one.order.fence == fence) {
                    under_way.taken = true;
                }
            }
            Answer::Lost => {}
        }
        Vec::new()
    }
}
