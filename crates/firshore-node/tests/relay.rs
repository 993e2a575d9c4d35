//! Nodes that follow the store through relays: the load on the store, and failures of relays and of their access
//! to the store.

mod cluster;

use cluster::*;
use firshore_adapter::objects::{
    Answer, Change, Changes, Object, ObjectError, ObjectStore, Page, Revision,
};
use firshore_gateway::freshness::Freshness;
use firshore_link::handshake::ClusterSecret;
use firshore_link::listener::{self, Handler};
use firshore_node::journal::messages::{PeerRequest, PeerResponse};
use firshore_node::journal::registry::{KIND, NodeRecord, Registry};
use firshore_node::list_watch::ObjectUpdate;
use firshore_node::relay::client::RelayClient;
use firshore_node::relay::store::RelayedStore;
use firshore_node::relay::{Announce, Relay};
use firshore_node::stream_origins::StreamOrigins;
use firshore_replication::types::DiskId;
use firshore_stand_in::adapter::{BACKENDS, Plain, RETIREMENTS};
use firshore_stand_in::store::MemoryStore;
use futures_util::FutureExt;
use futures_util::future::{LocalBoxFuture, join_all, pending};
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;

/// A node's access to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StoreAccess {
    Open,
    /// Every call is refused.
    Refused,
    /// Calls get no response, as during a network partition.
    Silent,
}

/// The store as one node reaches it, with counts of calls.
struct LocalStore {
    store: Rc<MemoryStore>,
    access: Cell<StoreAccess>,
    calls: Cell<usize>,
    probes: Cell<usize>,
}

impl LocalStore {
    fn new(store: &Rc<MemoryStore>) -> Rc<Self> {
        Rc::new(Self {
            store: store.clone(),
            access: Cell::new(StoreAccess::Open),
            calls: Cell::new(0),
            probes: Cell::new(0),
        })
    }

    async fn check_access(&self) -> Result<(), ObjectError> {
        self.calls.set(self.calls.get() + 1);
        match self.access.get() {
            StoreAccess::Open => Ok(()),
            StoreAccess::Refused => Err(ObjectError::Refused("refused by the test".to_owned())),
            StoreAccess::Silent => Err(no_response(Duration::ZERO).await),
        }
    }
}

/// Returns the error of a call without a response, 300 ms after `wait`.
async fn no_response(wait: Duration) -> ObjectError {
    actix_rt::time::sleep(wait + Duration::from_millis(300)).await;
    ObjectError::Unanswered("no response".to_owned())
}

impl ObjectStore for LocalStore {
    fn list<'a>(&'a self, kind: &'a str, after: Option<&'a str>) -> Answer<'a, Page> {
        async move {
            self.check_access().await?;
            self.store.list(kind, after).await
        }
        .boxed_local()
    }

    fn watch<'a>(&'a self, kind: &'a str, after: Revision, wait: Duration) -> Answer<'a, Changes> {
        async move {
            self.check_access().await?;
            let changes = self.store.watch(kind, after, wait).await;
            // Calls in flight when the access was lost fail too.
            match self.access.get() {
                StoreAccess::Open => changes,
                StoreAccess::Refused => Err(ObjectError::Unanswered("reset".to_owned())),
                StoreAccess::Silent => Err(no_response(Duration::from_secs(18)).await),
            }
        }
        .boxed_local()
    }

    fn reach<'a>(&'a self) -> Answer<'a, Revision> {
        async move {
            self.probes.set(self.probes.get() + 1);
            match self.access.get() {
                StoreAccess::Open => self.store.reach().await,
                StoreAccess::Refused => Err(ObjectError::Refused("refused by the test".to_owned())),
                StoreAccess::Silent => Err(no_response(Duration::from_secs(1)).await),
            }
        }
        .boxed_local()
    }

    fn get<'a>(&'a self, kind: &'a str, name: &'a str) -> Answer<'a, Option<Object>> {
        self.store.get(kind, name)
    }

    fn create<'a>(&'a self, kind: &'a str, name: &'a str, spec: Value) -> Answer<'a, ()> {
        self.store.create(kind, name, spec)
    }

    fn replace<'a>(
        &'a self,
        kind: &'a str,
        name: &'a str,
        revision: Revision,
        spec: Value,
    ) -> Answer<'a, ()> {
        self.store.replace(kind, name, revision, spec)
    }

    fn replace_status<'a>(
        &'a self,
        kind: &'a str,
        name: &'a str,
        revision: Revision,
        status: Value,
    ) -> Answer<'a, ()> {
        self.store.replace_status(kind, name, revision, status)
    }
}

struct RelayHandler {
    relay: Rc<Relay>,
    /// The node was killed and no longer responds.
    dead: Rc<Cell<bool>>,
}

impl Handler<PeerRequest, PeerResponse> for RelayHandler {
    fn notice(&self, request: PeerRequest) {
        if let PeerRequest::Changed { kind, revision } = request {
            let relay = self.relay.clone();
            actix_rt::spawn(async move { relay.apply_hint(&kind, revision).await });
        }
    }

    fn answer(&self, request: PeerRequest) -> LocalBoxFuture<'static, PeerResponse> {
        let (relay, dead) = (self.relay.clone(), self.dead.clone());
        async move {
            if dead.get() {
                return pending().await;
            }
            match request {
                PeerRequest::List { kind, after, known } => {
                    relay.list(&kind, after.as_deref(), known).await
                }
                PeerRequest::Watch { kind, known, wait } => {
                    let wait = Duration::from_millis(wait);
                    relay.watch(&kind, known, wait).await
                }
                other => panic!("{other:?}"),
            }
        }
        .boxed_local()
    }
}

struct RelayNode {
    name: String,
    zone: &'static str,
    address: SocketAddr,
    store: Rc<LocalStore>,
    dead: Rc<Cell<bool>>,
}

/// Returns a callback that notifies all relays of changes.
fn announce(addresses: &Rc<RefCell<Vec<SocketAddr>>>) -> Announce {
    let (addresses, peers) = (addresses.clone(), peers());
    Rc::new(move |kind, revision| {
        for address in addresses.borrow().iter() {
            let changed = PeerRequest::Changed {
                kind: kind.to_owned(),
                revision,
            };
            peers.notify(*address, changed);
        }
    })
}

/// Starts one relay for each of the given zones; all notify each other.
async fn start_relays(zones: &[&'static str], store: &Rc<MemoryStore>) -> Vec<RelayNode> {
    let addresses = Rc::default();
    let mut relays = Vec::new();
    for (number, zone) in zones.iter().enumerate() {
        let relay = RelayNode::start(&format!("r{number}"), zone, store, &addresses).await;
        relay.register(number as u64, store);
        addresses.borrow_mut().push(relay.address);
        relays.push(relay);
    }
    relays
}

impl RelayNode {
    async fn start(
        name: &str,
        zone: &'static str,
        store: &Rc<MemoryStore>,
        addresses: &Rc<RefCell<Vec<SocketAddr>>>,
    ) -> Self {
        let local_store = LocalStore::new(store);
        let relay = Relay::new(
            local_store.clone(),
            log(),
            relayed_kinds(),
            announce(addresses),
            StreamOrigins::new(Rc::new(Plain)),
        );
        actix_rt::spawn(relay.clone().run());
        let address = free_address();
        let listener = TcpListener::bind(address).await.unwrap();
        let dead = Rc::new(Cell::new(false));
        let handler = Rc::new(RelayHandler {
            relay,
            dead: dead.clone(),
        });
        let secret = ClusterSecret(secret().into());
        actix_rt::spawn(listener::run(listener, secret, handler, log()));
        Self {
            name: name.to_owned(),
            zone,
            address,
            store: local_store,
            dead,
        }
    }

    fn register(&self, disk: u64, store: &MemoryStore) {
        let record = NodeRecord {
            address: self.address,
            zone: self.zone.into(),
            disk: DiskId(disk),
        };
        let spec = serde_json::to_value(record).unwrap();
        store.put(KIND, &format!("node.{}", self.name), spec);
    }
}

/// Returns the first relay that has queried the store.
fn relay_in_use(relays: &[RelayNode]) -> &RelayNode {
    let relay = relays.iter().find(|one| one.store.calls.get() > 0);
    relay.expect("no relay is in use")
}

/// A node that follows back ends through relays.
struct Follower {
    local_store: Rc<LocalStore>,
    names: Rc<RefCell<Vec<String>>>,
    freshness: Rc<Freshness>,
    _task: actix_rt::task::JoinHandle<()>,
}

fn apply(names: &RefCell<Vec<String>>, update: ObjectUpdate) {
    let mut names = names.borrow_mut();
    match update {
        ObjectUpdate::All(objects) => {
            *names = objects.into_iter().map(|one| one.name).collect();
        }
        ObjectUpdate::Changed(changes) => {
            for change in changes {
                match change {
                    Change::Written(object) => {
                        names.retain(|name| *name != object.name);
                        names.push(object.name);
                    }
                    Change::Removed(removed) => names.retain(|name| *name != removed),
                }
            }
        }
    }
}

impl Follower {
    fn start(number: usize, store: &Rc<MemoryStore>) -> Self {
        let local_store = LocalStore::new(store);
        let client = RelayClient {
            node: format!("follower-{number}").as_str().into(),
            zone: "z1".into(),
            registry: Rc::new(Registry::new(store.clone(), log())),
            peers: peers(),
            log: log(),
            on_contact: Rc::new(|_, _| {}),
            excluded: RefCell::default(),
        };
        let freshness = Rc::<Freshness>::default();
        let relayed = RelayedStore::new(client, local_store.clone(), budget(), freshness.clone());
        let names = Rc::new(RefCell::new(Vec::new()));
        let updated = names.clone();
        let kind = relayed_kinds().remove(0);
        let task = firshore_node::watcher::follow(
            firshore_node::watcher::Watcher {
                log: log(),
                store: relayed,
                kind: kind.name,
                options: kind.options,
                renewal: Rc::default(),
            },
            move |update| apply(&updated, update),
        );
        Self {
            local_store,
            names,
            freshness,
            _task: actix_rt::spawn(task),
        }
    }

    /// Returns the maximum number of listings that a node requests from the store within `time` without a usable
    /// relay: one per 0.6 of the freshness bound, and one at the start.
    fn max_listings(time: Duration) -> usize {
        let interval = budget().bound().mul_f64(0.6);
        1 + (time.as_secs_f64() / interval.as_secs_f64()).ceil() as usize
    }

    /// Waits for exactly these back ends for at most twice the freshness bound, because tests run in parallel.
    async fn wait_for_in_time(&self, names: &[&str]) {
        let limit = budget().bound() * 2;
        let wait = tokio::time::timeout(limit, self.wait_for(names)).await;
        wait.unwrap_or_else(|_| panic!("{names:?}: {:?}", self.names.borrow()));
    }

    /// Waits until the follower has exactly these back ends.
    async fn wait_for(&self, names: &[&str]) {
        loop {
            let mut current = self.names.borrow().clone();
            current.sort();
            if current == names {
                return;
            }
            pause().await;
        }
    }
}

fn put(store: &MemoryStore, name: &str) {
    store.put(BACKENDS, name, json!({"name": name}));
}

#[test]
fn many_nodes_cost_the_store_only_the_calls_of_their_relays() {
    run(async {
        let store = MemoryStore::new();
        put(&store, "a");
        let relays = start_relays(&["z1", "z1", "z2"], &store).await;
        let followers: Vec<Follower> = (0..40)
            .map(|number| Follower::start(number, &store))
            .collect();
        join_all(followers.iter().map(|one| one.wait_for(&["a"]))).await;
        put(&store, "b");
        join_all(followers.iter().map(|one| one.wait_for(&["a", "b"]))).await;
        store.remove(BACKENDS, "a");
        join_all(followers.iter().map(|one| one.wait_for(&["b"]))).await;
        let local_calls: usize = followers
            .iter()
            .map(|one| one.local_store.calls.get())
            .sum();
        assert_eq!(local_calls, 0, "no node queries the store itself");
        assert_eq!(relays[2].store.calls.get(), 0, "no client in its zone");
        let relayed: usize = relays.iter().map(|one| one.store.calls.get()).sum();
        assert!(relayed <= 12, "{relayed} calls");
    });
}

// An object that a node cannot decode must not fail the other objects of a relay's response.
#[test]
fn undecodable_object_does_not_affect_others() {
    run(async {
        let store = MemoryStore::new();
        // The maximum depth in a response of the store; wrapped for the relay's response, it is deeper.
        let deep = (0..127).fold(json!(1), |inner, _| json!([inner]));
        store.put(BACKENDS, "deep", deep.clone());
        put(&store, "a");
        let _relays = start_relays(&["z1"], &store).await;
        let follower = Follower::start(1, &store);
        follower.wait_for_in_time(&["a", "deep"]).await;
        store.put(BACKENDS, "later", deep);
        put(&store, "b");
        follower
            .wait_for_in_time(&["a", "b", "deep", "later"])
            .await;
        assert_eq!(follower.local_store.calls.get(), 0, "the relay is used");
    });
}

#[test]
fn lost_relay_is_excluded() {
    run(async {
        let store = MemoryStore::new();
        put(&store, "a");
        let relays = start_relays(&["z1", "z1", "z2"], &store).await;
        let follower = Follower::start(1, &store);
        follower.wait_for(&["a"]).await;
        relay_in_use(&relays).dead.set(true);
        put(&store, "b");
        follower.wait_for(&["a", "b"]).await;
        assert_eq!(
            follower.local_store.calls.get(),
            0,
            "the zone's other relay responds"
        );
        // Only the relay in another zone remains.
        for relay in &relays[..2] {
            relay.dead.set(true);
        }
        put(&store, "c");
        follower.wait_for_in_time(&["a", "b", "c"]).await;
        // The node waits for one of the two lost relays; it queries the store only on a busy machine.
        let calls = follower.local_store.calls.get();
        assert!(calls <= 2, "{calls} calls");
        actix_rt::time::sleep(Duration::from_secs(3)).await;
        put(&store, "d");
        follower.wait_for_in_time(&["a", "b", "c", "d"]).await;
        assert_eq!(
            follower.local_store.calls.get(),
            calls,
            "the remaining relay responds"
        );
    });
}

#[test]
fn node_is_updated_in_time_whatever_happens_to_its_relays() {
    for access in [StoreAccess::Refused, StoreAccess::Silent] {
        run(async move {
            let store = MemoryStore::new();
            put(&store, "a");
            let relays = start_relays(&["z1", "z1", "z2"], &store).await;
            let follower = Follower::start(1, &store);
            follower.wait_for(&["a"]).await;
            for relay in &relays {
                relay.store.access.set(access);
            }
            put(&store, "b");
            follower.wait_for_in_time(&["a", "b"]).await;
            let limit = Follower::max_listings(budget().bound() * 2);
            assert!(
                follower.local_store.calls.get() <= limit,
                "more than {limit} calls"
            );
            for relay in &relays {
                relay.dead.set(true);
            }
            put(&store, "c");
            follower.wait_for_in_time(&["a", "b", "c"]).await;
        });
    }
}

#[test]
fn isolated_relay_forwards_nothing() {
    for access in [StoreAccess::Refused, StoreAccess::Silent] {
        run(async move {
            let store = MemoryStore::new();
            put(&store, "a");
            let relays = start_relays(&["z1", "z1"], &store).await;
            let followers = [0, 1, 2, 3].map(|number| Follower::start(number, &store));
            join_all(followers.iter().map(|one| one.wait_for(&["a"]))).await;
            relay_in_use(&relays).store.access.set(access);
            put(&store, "b");
            join_all(followers.iter().map(|one| one.wait_for(&["a", "b"]))).await;
            let local_calls: usize = followers
                .iter()
                .map(|one| one.local_store.calls.get())
                .sum();
            assert_eq!(local_calls, 0, "{access:?}");
        });
    }
}

#[test]
fn partition_is_detected_without_other_relays() {
    run(async {
        let store = MemoryStore::new();
        put(&store, "a");
        let relays = start_relays(&["z1", "z2"], &store).await;
        let follower = Follower::start(1, &store);
        follower.wait_for(&["a"]).await;
        let relay = relay_in_use(&relays);
        relay.store.access.set(StoreAccess::Silent);
        put(&store, "b");
        // A watch in flight ends only after 18 s, and the other relay has no client yet.
        let wait = tokio::time::timeout(Duration::from_secs(6), follower.wait_for(&["a", "b"]));
        wait.await.expect("the partition is detected");
        assert_eq!(
            follower.local_store.calls.get(),
            0,
            "the other relay is queried"
        );
    });
}

#[test]
fn relay_without_clients_queries_nothing() {
    run(async {
        let store = MemoryStore::new();
        let relays = start_relays(&["z1"], &store).await;
        actix_rt::time::sleep(Duration::from_secs(2)).await;
        let store = &relays[0].store;
        assert_eq!((store.calls.get(), store.probes.get()), (0, 0));
    });
}

#[test]
fn store_is_queried_only_while_no_relay_is_usable() {
    run(async {
        let store = MemoryStore::new();
        put(&store, "a");
        let relays = start_relays(&["z1"], &store).await;
        relays[0].store.access.set(StoreAccess::Refused);
        let follower = Follower::start(1, &store);
        follower.wait_for(&["a"]).await;
        assert!(
            follower.local_store.calls.get() > 0,
            "the store itself is queried"
        );
        relays[0].store.access.set(StoreAccess::Open);
        follower.local_store.access.set(StoreAccess::Refused);
        put(&store, "b");
        follower.wait_for(&["a", "b"]).await;
    });
}

#[test]
fn relay_behind_its_client_queries_the_store_again() {
    run(async {
        let store = MemoryStore::new();
        put(&store, "a");
        let local_store = LocalStore::new(&store);
        let relay = Relay::new(
            local_store.clone(),
            log(),
            relayed_kinds(),
            Rc::new(|_, _| {}),
            StreamOrigins::new(Rc::new(Plain)),
        );
        let first = relay.list(BACKENDS, None, 0).await;
        let PeerResponse::Page(page) = first else {
            panic!("{first:?}");
        };
        // Changes of other kinds advance the store's revision, but not the relay's watch.
        store.put(RETIREMENTS, "x", json!({}));
        let known = page.revision + 1;
        let wait = Duration::from_millis(50);
        let later = relay.watch(BACKENDS, known, wait).await;
        let PeerResponse::Changes(changes) = later else {
            panic!("{later:?}");
        };
        assert!(changes.revision >= known && changes.written.is_empty());
        let beyond = relay.list(BACKENDS, None, known + 100).await;
        assert!(matches!(beyond, PeerResponse::NoContact), "{beyond:?}");
        let other = relay.list(RETIREMENTS, None, 0).await;
        assert!(matches!(other, PeerResponse::NoContact), "not relayed");
    });
}

#[test]
fn unreachable_store_is_queried_only_by_relays() {
    run(async {
        let store = MemoryStore::new();
        put(&store, "a");
        let relays = start_relays(&["z1", "z1", "z2"], &store).await;
        let followers: Vec<Follower> = (0..20)
            .map(|number| Follower::start(number, &store))
            .collect();
        join_all(followers.iter().map(|one| one.wait_for(&["a"]))).await;
        let before = store.calls();
        for relay in &relays {
            relay.store.access.set(StoreAccess::Refused);
        }
        for follower in &followers {
            follower.local_store.access.set(StoreAccess::Refused);
        }
        // Ends the watches in flight.
        put(&store, "b");
        actix_rt::time::sleep(Duration::from_secs(4)).await;
        let local_calls: usize = followers
            .iter()
            .map(|one| one.local_store.calls.get())
            .sum();
        let listings = store.calls() - before;
        assert_eq!(
            (local_calls, listings),
            (0, 0),
            "neither back ends nor nodes are queried"
        );
        // A probe costs the store a tenth of a query.
        let probes: usize = followers
            .iter()
            .map(|one| one.local_store.probes.get())
            .sum();
        assert!(probes <= 6 * followers.len(), "{probes} probes in 4 s");
        for relay in &relays {
            relay.store.access.set(StoreAccess::Open);
        }
        join_all(followers.iter().map(|one| one.wait_for(&["a", "b"]))).await;
    });
}

#[test]
fn relay_reports_the_age_of_its_contact() {
    run(async {
        let store = MemoryStore::new();
        put(&store, "a");
        let relays = start_relays(&["z1"], &store).await;
        let follower = Follower::start(1, &store);
        follower.wait_for(&["a"]).await;
        while follower.freshness.as_of().is_none() {
            pause().await;
        }
        assert_eq!(follower.freshness.source().as_deref(), Some("r0"));
        // The relay has lost the store: its freshness must not advance.
        let lost_at = tokio::time::Instant::now();
        relays[0].store.access.set(StoreAccess::Silent);
        actix_rt::time::sleep(Duration::from_millis(400)).await;
        assert!(follower.freshness.as_of() <= Some(lost_at));
    });
}

#[test]
fn nodes_that_start_together_list_once_the_others_have_registered() {
    run(async {
        let store = MemoryStore::new();
        let registry = Registry::new(store.clone(), log());
        registry.defer_listing(Duration::from_millis(200));
        let calls = store.calls();
        assert!(registry.is_deferred());
        assert!(!registry.refresh().await);
        assert_eq!(store.calls(), calls, "nothing is listed");
        for number in 0..9 {
            let record = NodeRecord {
                address: free_address(),
                zone: "z".into(),
                disk: DiskId(number),
            };
            let spec = serde_json::to_value(record).unwrap();
            store.put(KIND, &format!("node.n{number}"), spec);
        }
        actix_rt::time::sleep(Duration::from_millis(250)).await;
        assert!(registry.refresh().await);
        assert_eq!(registry.candidates().len(), 9);
    });
}
