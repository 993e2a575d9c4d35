//! Back ends: they run requests, end, and are back at their address under another name, or under their own
//! with a later start.

use super::{OwnEnds, World, spawn};
use firshore_adapter::backend::Backend;
use firshore_adapter::incarnation::{Incarnation, StartTime};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

/// Time after its end at which a back end's entry goes.
const LAPSE: Duration = Duration::from_millis(3_600);

/// Milliseconds after its end at which a back end is back.
const BACK_AFTER: std::ops::Range<u64> = 1_000..4_500;

/// Milliseconds for which a back end that comes and goes is up.
const UP: std::ops::Range<u64> = 2_000..7_000;

/// One life of a back end.
pub struct Life {
    pub backend: Backend,
    pub ended: watch::Sender<bool>,
}

impl Life {
    fn new(place: usize, count: usize, keeps_name: bool) -> Rc<Self> {
        let incarnation = match keeps_name {
            true => Incarnation::started(format!("b{place}"), StartTime(count as u64)),
            false => Incarnation::named(format!("b{place}-{count}")),
        };
        let backend = Backend {
            incarnation,
            service: "s".into(),
            address: address(place),
            zone: "z0".into(),
            slots: 12,
            leaving: false,
        };
        Rc::new(Self {
            backend,
            ended: watch::Sender::new(false),
        })
    }

    pub fn has_ended(&self) -> bool {
        *self.ended.borrow()
    }
}

/// A name for a back end's machine; nothing listens there.
fn address(place: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 1, 1], 1 + place as u16))
}

/// All back ends.
pub struct BackendPark {
    /// What runs, or ran last, at each place.
    lives: RefCell<Vec<Rc<Life>>>,
    /// Whether back ends start again under their names.
    keeps_names: bool,
    count: Cell<usize>,
    /// Counts changes of what is listed.
    pub listed: watch::Sender<u64>,
    /// Lives that are listed.
    listing: RefCell<Vec<Rc<Life>>>,
    /// When back ends ended under each request that crashes them.
    under: RefCell<BTreeMap<usize, Vec<Instant>>>,
}

impl BackendPark {
    pub fn new(count: usize, keeps_names: bool) -> Rc<Self> {
        let lives = (0..count).map(|place| Life::new(place, 0, keeps_names));
        let lives: Vec<Rc<Life>> = lives.collect();
        Rc::new(Self {
            keeps_names,
            listing: RefCell::new(lives.clone()),
            lives: RefCell::new(lives),
            count: Cell::new(0),
            listed: watch::Sender::new(0),
            under: RefCell::default(),
        })
    }

    /// What the store lists.
    pub fn listing(&self) -> Vec<Rc<Life>> {
        self.listing.borrow().clone()
    }

    pub fn backends(&self) -> Vec<Backend> {
        let listing = self.listing.borrow();
        listing.iter().map(|life| life.backend.clone()).collect()
    }

    /// Whether connections to an address are refused.
    pub fn is_refused(&self, at: SocketAddr) -> bool {
        let lives = self.lives.borrow();
        let mut there = lives.iter().filter(|life| life.backend.address == at);
        there.all(|life| life.has_ended())
    }

    /// Times at which back ends ended under a request.
    pub fn ends_under(&self, fatal: usize) -> Vec<Instant> {
        let under = self.under.borrow();
        under.get(&fatal).cloned().unwrap_or_default()
    }

    /// A back end ends, under a request that crashes it or by itself. It is back after a while.
    pub fn end(self: &Rc<Self>, world: &Rc<World>, life: &Rc<Life>, fatal: Option<usize>) {
        if life.ended.send_replace(true) {
            return;
        }
        if let Some(fatal) = fatal {
            let mut under = self.under.borrow_mut();
            under.entry(fatal).or_default().push(Instant::now());
        }
        let (park, world, life) = (self.clone(), world.clone(), life.clone());
        let back_after = Duration::from_millis(world.draw(BACK_AFTER));
        let gone = life.clone();
        let unlisting = park.clone();
        spawn(async move {
            sleep(LAPSE).await;
            unlisting
                .listing
                .borrow_mut()
                .retain(|one| !Rc::ptr_eq(one, &gone));
            unlisting.listed.send_modify(|count| *count += 1);
        });
        spawn(async move {
            sleep(back_after).await;
            park.come_back(&life);
        });
    }

    fn come_back(&self, life: &Rc<Life>) {
        let mut lives = self.lives.borrow_mut();
        let place = lives.iter().position(|one| Rc::ptr_eq(one, life));
        let place = place.expect("a life has its place");
        self.count.set(self.count.get() + 1);
        let next = Life::new(place, self.count.get(), self.keeps_names);
        lives[place] = next.clone();
        let mut listing = self.listing.borrow_mut();
        // An entry under the same name takes the place of the former one.
        listing.retain(|one| one.backend.incarnation.name != next.backend.incarnation.name);
        listing.push(next);
        drop(listing);
        self.listed.send_modify(|count| *count += 1);
    }

    fn up(&self) -> Vec<Rc<Life>> {
        let lives = self.lives.borrow();
        lives
            .iter()
            .filter(|life| !life.has_ended())
            .cloned()
            .collect()
    }
}

/// Lets back ends end for reasons of their own, until the play is over.
pub async fn end_by_themselves(world: Rc<World>) {
    match world.scene.own_ends {
        OwnEnds::None => {}
        OwnEnds::Single => {
            while !world.is_over.get() {
                world.pause(500..1_500).await;
                end_some(&world, 1);
            }
        }
        OwnEnds::Mass => {
            while !world.is_over.get() {
                world.pause(4_000..6_000).await;
                end_some(&world, world.scene.backends / 2);
            }
        }
        OwnEnds::Flapping => {
            for place in 0..world.scene.backends {
                spawn(flap(world.clone(), place));
            }
        }
    }
}

async fn flap(world: Rc<World>, place: usize) {
    while !world.is_over.get() {
        world.pause(UP).await;
        let life = world.park.lives.borrow()[place].clone();
        world.park.end(&world, &life, None);
    }
}

fn end_some(world: &Rc<World>, count: usize) {
    let mut up = world.park.up();
    for _ in 0..count.min(up.len()) {
        let drawn = world.draw(0..up.len() as u64) as usize;
        let life = up.swap_remove(drawn);
        world.park.end(world, &life, None);
    }
}
