//! A relay and a gateway without sockets, and what their work costs.

use crate::experiment::configuration_size::resident_bytes;
use firshore_adapter::decode::Decoder;
use firshore_adapter::incarnation::BackendName;
use firshore_adapter::objects::{Change, Object, Revision};
use firshore_adapter::residency::ResidencyPermit;
use firshore_adapter::route::Repetition;
use firshore_gateway::attempts::Attempts;
use firshore_gateway::fleet::{BackendRequirements, Fleet};
use firshore_node::list_watch::ObjectUpdate;
use firshore_node::relay::cache::KindCache;
use firshore_stand_in::adapter::Plain;
use firshore_types::ids::ServiceName;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Changes, views and requests that are measured.
const ROUNDS: usize = 300;

/// Back ends named by a view: what some hundred requests a second hold at any moment.
const NAMED_BY_VIEW: usize = 200;

/// Every so many entries, one is unreadable.
const UNREADABLE_EVERY: usize = 97;

/// Time within which requests must begin.
const BEGIN_WITHIN: Duration = Duration::from_millis(300);

/// What one size costs.
#[derive(Clone, Copy, Debug, Default)]
pub struct StepCost {
    /// Memory of the relay's cache in bytes.
    pub relay_bytes: f64,
    /// Memory of the gateway's fleet in bytes.
    pub gateway_bytes: f64,
    /// Time of a complete listing at the gateway, in microseconds.
    pub listing_us: f64,
    /// Time of a change at the relay, with one node's query, in microseconds.
    pub relay_change_us: f64,
    /// Time of a change at the gateway, in microseconds.
    pub change_us: f64,
    /// Time of a view, in microseconds.
    pub view_us: f64,
    /// Time of a request's decisions, in microseconds.
    pub request_us: f64,
}

impl StepCost {
    /// Returns name, unit and value of each figure.
    pub fn figures(&self) -> [(&'static str, &'static str, f64); 7] {
        [
            ("memory of a relay", "bytes", self.relay_bytes),
            ("memory of a gateway", "bytes", self.gateway_bytes),
            ("listing at a gateway", "µs", self.listing_us),
            ("change at a relay", "µs", self.relay_change_us),
            ("change at a gateway", "µs", self.change_us),
            ("view at a gateway", "µs", self.view_us),
            ("request at a gateway", "µs", self.request_us),
        ]
    }
}

/// A relay and a gateway that know a fleet.
pub struct HollowFleet {
    cache: KindCache,
    fleet: Fleet,
    size: usize,
    revision: Revision,
    random: ChaCha8Rng,
}

fn name(number: usize) -> String {
    format!("i-{:08x}", number.wrapping_mul(0x9e37_79b1))
}

fn entry(number: usize, revision: Revision) -> Object {
    let address = format!(
        "10.{}.{}.{}:8080",
        number >> 16,
        (number >> 8) & 255,
        number & 255
    );
    let spec = match number % UNREADABLE_EVERY {
        0 => json!({"service": 7, "address": "nowhere"}),
        _ => json!({"service": "llm", "address": address, "zone": format!("z{}", number % 5),
            "slots": 8, "leaving": false, "started": 1_764_700_000_000_u64 + number as u64}),
    };
    Object {
        name: name(number),
        revision,
        spec,
        status: Value::Null,
    }
}

/// Returns the mean time of a round in microseconds.
fn mean_time(mut round: impl FnMut(usize)) -> f64 {
    let start = Instant::now();
    for number in 0..ROUNDS {
        round(number);
    }
    start.elapsed().as_secs_f64() * 1e6 / ROUNDS as f64
}

impl HollowFleet {
    /// Builds a fleet of a size and measures its costs.
    ///
    /// # Errors
    ///
    /// Fails if the resident memory can't be read.
    pub fn measure(size: usize, seed: u64) -> Result<(Self, StepCost), String> {
        let before = resident_bytes()?;
        let mut cache = KindCache::default();
        cache.apply(Some(ObjectUpdate::All(Vec::new())), 1);
        // One by one, so that no freed listing hides what the cache holds.
        for number in 0..size {
            let written = Change::Written(entry(number, 1));
            cache.apply(Some(ObjectUpdate::Changed(vec![written])), 1);
        }
        let relay_bytes = resident_bytes()? - before;
        let mut hollow = Self {
            cache,
            fleet: Fleet::new("z0".into()),
            size,
            revision: 1,
            random: ChaCha8Rng::seed_from_u64(seed),
        };
        let before = resident_bytes()?;
        let start = Instant::now();
        hollow.list();
        let listing_us = start.elapsed().as_secs_f64() * 1e6;
        let gateway_bytes = resident_bytes()? - before;
        let cost = StepCost {
            relay_bytes,
            gateway_bytes,
            listing_us,
            relay_change_us: mean_time(|round| hollow.change_at_relay(round)),
            change_us: mean_time(|round| hollow.change_at_gateway(round)),
            view_us: mean_time(|_| hollow.apply_view()),
            request_us: mean_time(|_| hollow.request()),
        };
        Ok((hollow, cost))
    }

    /// Returns the number of back ends that the gateway knows.
    pub fn known(&self) -> usize {
        self.fleet.len()
    }

    /// Returns the number of unreadable entries among the first `size`.
    pub fn unreadable(size: usize) -> usize {
        size.div_ceil(UNREADABLE_EVERY)
    }

    /// Lists all entries from the relay, page by page.
    fn list(&mut self) {
        let mut after: Option<String> = None;
        let mut backends = Vec::new();
        loop {
            let page = self.cache.list(after.as_deref(), 0);
            let page = page.expect("the cache was filled");
            for relayed in &page.objects {
                let object = relayed.decode().expect("the cache wrote it");
                backends.extend(Plain.backend(&object));
            }
            if !page.more {
                break;
            }
            after = page.objects.last().map(|object| object.name.clone());
        }
        self.fleet.replace(Instant::now(), backends);
    }

    fn change_at_relay(&mut self, round: usize) {
        let known = self.revision;
        self.revision += 1;
        let number = round * 31 % self.size;
        let written = Change::Written(entry(number, self.revision));
        let update = ObjectUpdate::Changed(vec![written]);
        self.cache.apply(Some(update), self.revision);
        let changes = self.cache.changes(known);
        let changes = changes.ok().flatten().expect("something has changed");
        assert_eq!(changes.written.len(), 1);
    }

    fn change_at_gateway(&mut self, round: usize) {
        let object = entry(round * 31 % self.size, self.revision);
        match Plain.backend(&object) {
            Ok(backend) => drop(self.fleet.upsert(Instant::now(), backend)),
            Err(_) => {
                let name = BackendName::from(object.name);
                self.fleet.remove(Instant::now(), &name);
            }
        }
    }

    fn apply_view(&mut self) {
        let random = &mut self.random;
        let named = (0..NAMED_BY_VIEW).map(|_| random.random_range(0..self.size));
        let view = named.map(|number| (BackendName::from(name(number)), 2));
        let view: HashMap<BackendName, u32> = view.collect();
        self.fleet.apply_remote_load(Instant::now(), &view, random);
    }

    fn request(&mut self) {
        let now = Instant::now();
        let (service, residency) = (ServiceName::from("llm"), ResidencyPermit::default());
        let attempts = Attempts::new(Repetition::Idempotent, 2);
        let requirements = BackendRequirements {
            origin: None,
            service: &service,
            attempts: &attempts,
            residency: &residency,
            affinity: None,
            load_limit: f32::INFINITY,
            begin_objective: Some(BEGIN_WITHIN),
            begin_within: Some(BEGIN_WITHIN),
        };
        self.fleet.outlook(now, &requirements, BEGIN_WITHIN);
        let chosen = self.fleet.choose(now, &requirements, &mut self.random);
        let chosen = chosen.expect("the fleet is nearly idle").incarnation;
        self.fleet.record_start(now, &chosen);
        self.fleet.record_end(now, &chosen);
    }
}
