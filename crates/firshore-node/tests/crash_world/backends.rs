//! Simulated back ends: they serve requests, exit and restart at the same address, with a new name or with the
//! same name and a later start time.

use super::{ExitPattern, World, spawn};
use firshore_adapter::backend::Backend;
use firshore_adapter::incarnation::{Incarnation, StartTime};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

/// Time between a back end's exit and the removal of its entry from the listing.
const UNLIST_DELAY: Duration = Duration::from_millis(3_600);

/// Milliseconds between a back end's exit and its restart.
const RESTART_DELAY_MS: std::ops::Range<u64> = 1_000..4_500;

/// Milliseconds that a flapping back end runs before it exits.
const FLAP_UPTIME_MS: std::ops::Range<u64> = 2_000..7_000;

/// One incarnation of a back end, from its start to its exit.
pub struct BackendInstance {
    pub backend: Backend,
    pub exited: watch::Sender<bool>,
}

impl BackendInstance {
    fn new(index: usize, count: usize, reuses_name: bool) -> Rc<Self> {
        let incarnation = match reuses_name {
            true => Incarnation::started(format!("b{index}"), StartTime(count as u64)),
            false => Incarnation::named(format!("b{index}-{count}")),
        };
        let backend = Backend {
            incarnation,
            service: "s".into(),
            address: address(index),
            zone: "z0".into(),
            slots: 12,
            leaving: false,
            warm_up: None,
            software: None,
        };
        Rc::new(Self {
            backend,
            exited: watch::Sender::new(false),
        })
    }

    pub fn has_exited(&self) -> bool {
        *self.exited.borrow()
    }
}

/// Returns the address that identifies a back end's machine; no socket is opened.
fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 1, 1], 1 + index as u16))
}

/// All back ends, running or exited.
pub struct BackendPool {
    /// Latest instance at each index.
    instances: RefCell<Vec<Rc<BackendInstance>>>,
    /// Whether back ends restart with the same name.
    reuses_names: bool,
    count: Cell<usize>,
    /// Incremented with each change of the listing.
    pub listing_version: watch::Sender<u64>,
    /// Instances in the object store's listing.
    listing: RefCell<Vec<Rc<BackendInstance>>>,
    /// Times of back-end crashes, by fatal request.
    crashes: RefCell<BTreeMap<usize, Vec<Instant>>>,
}

impl BackendPool {
    pub fn new(count: usize, reuses_names: bool) -> Rc<Self> {
        let instances = (0..count).map(|index| BackendInstance::new(index, 0, reuses_names));
        let instances: Vec<Rc<BackendInstance>> = instances.collect();
        Rc::new(Self {
            reuses_names,
            listing: RefCell::new(instances.clone()),
            instances: RefCell::new(instances),
            count: Cell::new(0),
            listing_version: watch::Sender::new(0),
            crashes: RefCell::default(),
        })
    }

    /// Returns the instances that the object store lists.
    pub fn listing(&self) -> Vec<Rc<BackendInstance>> {
        self.listing.borrow().clone()
    }

    pub fn backends(&self) -> Vec<Backend> {
        let listing = self.listing.borrow();
        listing
            .iter()
            .map(|instance| instance.backend.clone())
            .collect()
    }

    /// Returns whether connections to an address are refused.
    pub fn is_refused(&self, at: SocketAddr) -> bool {
        let instances = self.instances.borrow();
        let mut at_address = instances
            .iter()
            .filter(|instance| instance.backend.address == at);
        at_address.all(|instance| instance.has_exited())
    }

    /// Returns the times at which back ends crashed under a fatal request.
    pub fn crash_times(&self, fatal: usize) -> Vec<Instant> {
        let crashes = self.crashes.borrow();
        crashes.get(&fatal).cloned().unwrap_or_default()
    }

    /// Ends an instance, under a fatal request or spontaneously, and schedules its restart.
    pub fn exit(
        self: &Rc<Self>,
        world: &Rc<World>,
        instance: &Rc<BackendInstance>,
        fatal: Option<usize>,
    ) {
        if instance.exited.send_replace(true) {
            return;
        }
        if let Some(fatal) = fatal {
            let mut crashes = self.crashes.borrow_mut();
            crashes.entry(fatal).or_default().push(Instant::now());
        }
        let (pool, world, instance) = (self.clone(), world.clone(), instance.clone());
        let restart_delay = Duration::from_millis(world.random_in(RESTART_DELAY_MS));
        let removed = instance.clone();
        let listing_pool = pool.clone();
        spawn(async move {
            sleep(UNLIST_DELAY).await;
            listing_pool
                .listing
                .borrow_mut()
                .retain(|instance| !Rc::ptr_eq(instance, &removed));
            listing_pool
                .listing_version
                .send_modify(|count| *count += 1);
        });
        spawn(async move {
            sleep(restart_delay).await;
            pool.restart(&instance);
        });
    }

    fn restart(&self, instance: &Rc<BackendInstance>) {
        let mut instances = self.instances.borrow_mut();
        let index = instances
            .iter()
            .position(|other| Rc::ptr_eq(other, instance));
        let index = index.expect("every instance has an index");
        self.count.set(self.count.get() + 1);
        let next = BackendInstance::new(index, self.count.get(), self.reuses_names);
        instances[index] = next.clone();
        let mut listing = self.listing.borrow_mut();
        // A new entry replaces the entry with the same name.
        listing
            .retain(|instance| instance.backend.incarnation.name != next.backend.incarnation.name);
        listing.push(next);
        drop(listing);
        self.listing_version.send_modify(|count| *count += 1);
    }

    fn running(&self) -> Vec<Rc<BackendInstance>> {
        let instances = self.instances.borrow();
        instances
            .iter()
            .filter(|instance| !instance.has_exited())
            .cloned()
            .collect()
    }
}

/// Makes back ends exit without a fatal request until the run is finished.
pub async fn run_spontaneous_exits(world: Rc<World>) {
    match world.scenario.exit_pattern {
        ExitPattern::None => {}
        ExitPattern::Single => {
            while !world.is_finished.get() {
                world.sleep_random(500..1_500).await;
                exit_some(&world, 1);
            }
        }
        ExitPattern::Mass => {
            while !world.is_finished.get() {
                world.sleep_random(4_000..6_000).await;
                exit_some(&world, world.scenario.backends / 2);
            }
        }
        ExitPattern::Flapping => {
            for index in 0..world.scenario.backends {
                spawn(flap(world.clone(), index));
            }
        }
    }
}

async fn flap(world: Rc<World>, index: usize) {
    while !world.is_finished.get() {
        world.sleep_random(FLAP_UPTIME_MS).await;
        let instance = world.pool.instances.borrow()[index].clone();
        world.pool.exit(&world, &instance, None);
    }
}

fn exit_some(world: &Rc<World>, count: usize) {
    let mut running = world.pool.running();
    for _ in 0..count.min(running.len()) {
        let pick = world.random_in(0..running.len() as u64) as usize;
        let instance = running.swap_remove(pick);
        world.pool.exit(world, &instance, None);
    }
}
