//! Fencing, limits and repetition of orders, and the end of leadership.

mod support;

use firshore_controller::controller::{
    Answer, Controller, Input, LOAD_EFFECT_MILLISECONDS, MAX_CONCURRENT_LOADS,
    MAX_CONCURRENT_ORDERS, Output, RESEND_MILLISECONDS, ROLE_EFFECT_MILLISECONDS,
};
use firshore_controller::coverage::{Work, work_of};
use firshore_controller::order::{Fence, FencedOrder, Order};
use firshore_controller::plan::{EngineView, Group};
use firshore_types::declaration::EngineRole::{Batch, Mixed, Online};
use firshore_types::ids::MachineName;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::{engine, group};

fn fleet(count: usize) -> Vec<EngineView> {
    (0..count)
        .map(|number| engine(&format!("engine-{number:02}"), Mixed, &["m"], 0))
        .collect()
}

fn halves(engines: Vec<EngineView>) -> Input {
    Input::Tick(vec![group(
        engines,
        &[(Online, 50), (Batch, 50)],
        &[("m", 1)],
    )])
}

fn leading(term: u64) -> Controller {
    let mut controller = Controller::default();
    controller.step(0, Input::Lead { term });
    controller
}

fn sent(outputs: &[Output]) -> Vec<(MachineName, FencedOrder)> {
    let of_output = |output: &Output| match output {
        Output::Send { engine, order } => Some((engine.clone(), order.clone())),
        Output::Deposed { .. } => None,
    };
    outputs.iter().filter_map(of_output).collect()
}

#[test]
fn a_follower_sends_no_orders() {
    let mut controller = Controller::default();
    assert!(controller.step(0, halves(fleet(4))).is_empty());
    let mut controller = leading(3);
    controller.step(0, Input::Follow);
    assert!(controller.step(1, halves(fleet(4))).is_empty());
}

#[test]
fn orders_are_bounded_and_their_tokens_increase() {
    let mut controller = leading(3);
    let orders = sent(&controller.step(0, halves(fleet(40))));
    assert_eq!(orders.len(), MAX_CONCURRENT_ORDERS);
    for (number, (_, order)) in orders.iter().enumerate() {
        let sequence = number as u64 + 1;
        assert_eq!(order.fence, Fence { term: 3, sequence });
    }
    assert!(sent(&controller.step(1, halves(fleet(40)))).is_empty());
    let mut without = fleet(40);
    without
        .iter_mut()
        .for_each(|engine| engine.models = vec!["old".to_owned()]);
    let loads = Input::Tick(vec![group(without, &[], &[("m", 1)])]);
    let orders = sent(&leading(1).step(0, loads));
    assert_eq!(orders.len(), MAX_CONCURRENT_LOADS);
}

#[test]
fn an_unacknowledged_order_is_resent_with_its_token() {
    let mut controller = leading(3);
    let first = sent(&controller.step(0, halves(fleet(3))));
    assert!(!first.is_empty());
    assert!(sent(&controller.step(1, halves(fleet(3)))).is_empty());
    let again = sent(&controller.step(RESEND_MILLISECONDS, halves(fleet(3))));
    assert_eq!(again, first);
    for (engine, order) in &first {
        let (engine, fence) = (engine.clone(), order.fence);
        let answer = Answer::Taken;
        controller.step(
            RESEND_MILLISECONDS,
            Input::Answered {
                engine,
                fence,
                answer,
            },
        );
    }
    assert!(sent(&controller.step(3 * RESEND_MILLISECONDS, halves(fleet(3)))).is_empty());
    let overdue = ROLE_EFFECT_MILLISECONDS + 1;
    let replanned = sent(&controller.step(overdue, halves(fleet(3))));
    assert!(
        !replanned.is_empty(),
        "an order without effect is planned again"
    );
    assert!(replanned[0].1.fence > first[0].1.fence);
    assert!(overdue < LOAD_EFFECT_MILLISECONDS);
}

#[test]
fn a_newer_token_deposes_or_advances() {
    let mut controller = leading(3);
    let (engine, order) = sent(&controller.step(0, halves(fleet(4)))).remove(0);
    let held = Fence {
        term: 3,
        sequence: 70,
    };
    let answer = Answer::Stale(held);
    let fence = order.fence;
    controller.step(
        1,
        Input::Answered {
            engine: engine.clone(),
            fence,
            answer,
        },
    );
    let orders = sent(&controller.step(2, halves(fleet(4))));
    assert!(orders.iter().any(|(_, order)| order.fence.sequence > 70));

    let held = Fence {
        term: 4,
        sequence: 1,
    };
    let answer = Answer::Stale(held);
    let outputs = controller.step(
        3,
        Input::Answered {
            engine,
            fence,
            answer,
        },
    );
    assert_eq!(outputs, [Output::Deposed { held }]);
    assert!(controller.step(4, halves(fleet(4))).is_empty());
    assert!(!controller.is_leading());
    controller.step(5, Input::Lead { term: 3 });
    assert!(!controller.is_leading(), "an earlier term is refused");
    controller.step(6, Input::Lead { term: 4 });
    assert!(controller.is_leading());
}

/// Actual state of the engines and the reports that the controllers receive.
struct SimulatedPool {
    random: ChaCha8Rng,
    engines: Vec<EngineView>,
    reported: Vec<EngineView>,
    held: Vec<Fence>,
}

impl SimulatedPool {
    fn carry_out(&mut self, name: &MachineName, order: &FencedOrder) -> Answer {
        let index = self
            .engines
            .iter()
            .position(|one| one.name == *name)
            .unwrap();
        if order.fence < self.held[index] {
            return Answer::Stale(self.held[index]);
        }
        self.held[index] = order.fence;
        let engine = &mut self.engines[index];
        match &order.order {
            Order::SetRole { role } => engine.role = *role,
            Order::LoadModel { model } if !engine.models.contains(model) => {
                engine.models.push(model.clone());
            }
            Order::LoadModel { .. } => {}
            Order::UnloadModel { model } => engine.models.retain(|held| held != model),
        }
        let lost = self.random.random_ratio(1, 5);
        if lost { Answer::Lost } else { Answer::Taken }
    }

    fn report(&mut self) {
        for (index, engine) in self.engines.iter().enumerate() {
            if self.random.random_ratio(1, 3) {
                self.reported[index] = engine.clone();
            }
        }
    }

    fn group(&self, shares: &[(firshore_types::declaration::EngineRole, u8)]) -> Group {
        group(self.reported.clone(), shares, &[("m", 3), ("n", 1)])
    }

    fn drive(&mut self, now: u64, controller: &mut Controller, group: Group) {
        for (engine, order) in sent(&controller.step(now, Input::Tick(vec![group]))) {
            if self.random.random_ratio(1, 5) {
                continue;
            }
            let answer = self.carry_out(&engine, &order);
            let fence = order.fence;
            controller.step(
                now,
                Input::Answered {
                    engine,
                    fence,
                    answer,
                },
            );
            self.check();
        }
    }

    fn check(&self) {
        for model in ["m", "n"] {
            for work in [Work::Online, Work::Batch] {
                let takes = |engine: &EngineView| {
                    engine.models.iter().any(|held| held == model)
                        && work_of(engine.role).contains(&work)
                };
                assert!(
                    self.engines.iter().any(takes),
                    "no engine accepts {work:?} of {model}"
                );
            }
        }
    }
}

#[test]
fn all_work_stays_covered_by_an_engine() {
    let shapes = [
        [(Online, 50), (Batch, 50)],
        [(Online, 20), (Mixed, 80)],
        [(Mixed, 50), (Batch, 50)],
    ];
    for seed in 0..40 {
        let mut engines = fleet(9);
        for (number, engine) in engines.iter_mut().enumerate() {
            let models: &[&str] = [&["m"][..], &["n"], &["m", "n"]][number % 3];
            engine.models = models.iter().map(|model| (*model).to_owned()).collect();
        }
        let mut pool = SimulatedPool {
            random: ChaCha8Rng::seed_from_u64(seed),
            reported: engines.clone(),
            held: vec![Fence::default(); engines.len()],
            engines,
        };
        let mut controller = leading(1);
        let mut now = 0;
        for (round, shares) in shapes.iter().enumerate() {
            for _ in 0..400 {
                now += 500;
                pool.report();
                let group = pool.group(shares);
                pool.drive(now, &mut controller, group);
            }
            let targets = pool.group(shares).role_targets();
            for (role, target) in targets {
                let count = pool
                    .engines
                    .iter()
                    .filter(|engine| engine.role == role)
                    .count();
                assert_eq!(count, target, "seed {seed}, round {round}, {role:?}");
            }
            controller.step(
                now,
                Input::Lead {
                    term: round as u64 + 2,
                },
            );
        }
    }
}

#[test]
fn a_deposed_controller_changes_nothing() {
    let mut pool = SimulatedPool {
        random: ChaCha8Rng::seed_from_u64(1),
        reported: fleet(8),
        held: vec![Fence::default(); 8],
        engines: fleet(8),
    };
    let mut old = leading(5);
    let late = sent(&old.step(0, halves(fleet(8))));
    let mut new = leading(6);
    for (engine, order) in sent(&new.step(0, halves(fleet(8)))) {
        pool.carry_out(&engine, &order);
    }
    let before = pool.engines.clone();
    for (engine, order) in late {
        let answer = pool.carry_out(&engine, &order);
        assert!(matches!(answer, Answer::Stale(held) if held.term == 6));
        let fence = order.fence;
        old.step(
            1,
            Input::Answered {
                engine,
                fence,
                answer,
            },
        );
    }
    assert_eq!(pool.engines, before);
    assert!(!old.is_leading());
}
