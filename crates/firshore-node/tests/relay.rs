//! Nodes that learn what the store holds from relays: what that costs the store, and what relays and
//! their ways to the store may suffer.

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
use firshore_replication::types::DiskId;
use firshore_stand_in::adapter::{BACKENDS, RETIREMENTS};
use firshore_stand_in::store::MemoryStore;
use futures_util::FutureExt;
use futures_util::future::{LocalBoxFuture, join_all, pending};
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;

/// A node's own way to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    Open,
    /// Every call is refused.
    Refused,
    /// Nothing is answered any more, as behind a cut that nobody has noticed yet.
    Silent,
}

struct OwnStore {
    store: Rc<MemoryStore>,
    way: Cell<Way>,
    calls: Cell<usize>,
    probes: Cell<usize>,
}

impl OwnStore {
    fn new(store: &Rc<MemoryStore>) -> Rc<Self> {
        Rc::new(Self {
            store: store.clone(),
            way: Cell::new(Way::Open),
            calls: Cell::new(0),
            probes: Cell::new(0),
        })
    }

    async fn pass(&self) -> Result<(), ObjectError> {
        self.calls.set(self.calls.get() + 1);
        match self.way.get() {
            Way::Open => Ok(()),
            Way::Refused => Err(ObjectError::Refused("turned away".to_owned())),
            Way::Silent => Err(no_answer(Duration::ZERO).await),
        }
    }
}

/// A call that nobody answers ends within a bound of its own.
async fn no_answer(wait: Duration) -> ObjectError {
    actix_rt::time::sleep(wait + Duration::from_millis(300)).await;
    ObjectError::Unanswered("silent".to_owned())
}

impl ObjectStore for OwnStore {
    fn list<'a>(&'a self, kind: &'a str, after: Option<&'a str>) -> Answer<'a, Page> {
        async move {
            self.pass().await?;
            self.store.list(kind, after).await
        }
        .boxed_local()
    }

    fn watch<'a>(&'a self, kind: &'a str, after: Revision, wait: Duration) -> Answer<'a, Changes> {
        async move {
            self.pass().await?;
            let changes = self.store.watch(kind, after, wait).await;
            // A call that waited when the way was closed is lost too.
            match self.way.get() {
                Way::Open => changes,
                Way::Refused => Err(ObjectError::Unanswered("reset".to_owned())),
                Way::Silent => Err(no_answer(Duration::from_secs(18)).await),
            }
        }
        .boxed_local()
    }

    fn reach<'a>(&'a self) -> Answer<'a, Revision> {
        async move {
            self.probes.set(self.probes.get() + 1);
            match self.way.get() {
                Way::Open => self.store.reach().await,
                Way::Refused => Err(ObjectError::Refused("turned away".to_owned())),
                Way::Silent => Err(no_answer(Duration::from_secs(1)).await),
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
    /// It was killed, and its machine says nothing more.
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
    store: Rc<OwnStore>,
    dead: Rc<Cell<bool>>,
}

/// Tells all relays of changes, as their own registries would let them.
fn announce(to: &Rc<RefCell<Vec<SocketAddr>>>) -> Announce {
    let (to, peers) = (to.clone(), peers());
    Rc::new(move |kind, revision| {
        for address in to.borrow().iter() {
            let changed = PeerRequest::Changed {
                kind: kind.to_owned(),
                revision,
            };
            peers.notify(*address, changed);
        }
    })
}

/// Starts relays, each in a zone, that know of each other.
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
        let own = OwnStore::new(store);
        let relay = Relay::new(own.clone(), log(), relayed_kinds(), announce(addresses));
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
            store: own,
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

/// The relay that the store was asked by.
fn in_use(relays: &[RelayNode]) -> &RelayNode {
    let used = relays.iter().find(|one| one.store.calls.get() > 0);
    used.expect("one is asked")
}

/// A node that follows back ends through relays.
struct Follower {
    own: Rc<OwnStore>,
    known: Rc<RefCell<Vec<String>>>,
    belief: Rc<Freshness>,
    _following: actix_rt::task::JoinHandle<()>,
}

fn take(known: &RefCell<Vec<String>>, learned: ObjectUpdate) {
    let mut known = known.borrow_mut();
    match learned {
        ObjectUpdate::All(objects) => {
            *known = objects.into_iter().map(|one| one.name).collect();
        }
        ObjectUpdate::Changed(changes) => {
            for change in changes {
                match change {
                    Change::Written(object) => {
                        known.retain(|name| *name != object.name);
                        known.push(object.name);
                    }
                    Change::Removed(gone) => known.retain(|name| *name != gone),
                }
            }
        }
    }
}

impl Follower {
    fn start(number: usize, store: &Rc<MemoryStore>) -> Self {
        let own = OwnStore::new(store);
        let asker = RelayClient {
            node: format!("follower-{number}").as_str().into(),
            zone: "z1".into(),
            registry: Rc::new(Registry::new(store.clone(), log())),
            peers: peers(),
            log: log(),
            on_contact: Rc::new(|_, _| {}),
            excluded: RefCell::default(),
        };
        let belief = Rc::<Freshness>::default();
        let relayed = RelayedStore::new(asker, own.clone(), budget(), belief.clone());
        let known = Rc::new(RefCell::new(Vec::new()));
        let learning = known.clone();
        let kind = relayed_kinds().remove(0);
        let following = firshore_node::watcher::follow(
            firshore_node::watcher::Watcher {
                log: log(),
                store: relayed,
                kind: kind.name,
                options: kind.options,
                renewal: Rc::default(),
            },
            move |learned| take(&learning, learned),
        );
        Self {
            own,
            known,
            belief,
            _following: actix_rt::spawn(following),
        }
    }

    /// Listings that a node asks of the store in a time in which no relay is of use: one each 0.6 of the
    /// bound, and one as that begins.
    fn most_listings(time: Duration) -> usize {
        let pause = budget().bound().mul_f64(0.6);
        1 + (time.as_secs_f64() / pause.as_secs_f64()).ceil() as usize
    }

    /// Waits until it knows just these back ends, within the time that it has for a change and as much
    /// again: tests run side by side.
    async fn knows_in_time(&self, names: &[&str]) {
        let limit = budget().bound() * 2;
        let known = tokio::time::timeout(limit, self.knows(names)).await;
        known.unwrap_or_else(|_| panic!("{names:?}: {:?}", self.known.borrow()));
    }

    /// Waits until it knows just these back ends.
    async fn knows(&self, names: &[&str]) {
        loop {
            let mut known = self.known.borrow().clone();
            known.sort();
            if known == names {
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
fn many_nodes_cost_the_store_as_much_as_their_relays_do() {
    run(async {
        let store = MemoryStore::new();
        put(&store, "a");
        let relays = start_relays(&["z1", "z1", "z2"], &store).await;
        let followers: Vec<Follower> = (0..40)
            .map(|number| Follower::start(number, &store))
            .collect();
        join_all(followers.iter().map(|one| one.knows(&["a"]))).await;
        put(&store, "b");
        join_all(followers.iter().map(|one| one.knows(&["a", "b"]))).await;
        store.remove(BACKENDS, "a");
        join_all(followers.iter().map(|one| one.knows(&["b"]))).await;
        let own: usize = followers.iter().map(|one| one.own.calls.get()).sum();
        assert_eq!(own, 0, "no node asks the store itself");
        assert_eq!(relays[2].store.calls.get(), 0, "nobody of its zone asks");
        let relayed: usize = relays.iter().map(|one| one.store.calls.get()).sum();
        assert!(relayed <= 12, "{relayed} calls");
    });
}

// One object that could not be decoded at its receiver failed all that a relay told, again and again.
#[test]
fn what_a_relay_tells_stands_object_by_object() {
    run(async {
        let store = MemoryStore::new();
        // As deep as an answer of the store can hold it: it travels wrapped.
        let deep = (0..127).fold(json!(1), |inner, _| json!([inner]));
        store.put(BACKENDS, "deep", deep.clone());
        put(&store, "a");
        let _relays = start_relays(&["z1"], &store).await;
        let follower = Follower::start(1, &store);
        follower.knows_in_time(&["a", "deep"]).await;
        store.put(BACKENDS, "later", deep);
        put(&store, "b");
        follower.knows_in_time(&["a", "b", "deep", "later"]).await;
        assert_eq!(follower.own.calls.get(), 0, "the relay is of use");
    });
}

#[test]
fn a_relay_that_goes_is_passed_over() {
    run(async {
        let store = MemoryStore::new();
        put(&store, "a");
        let relays = start_relays(&["z1", "z1", "z2"], &store).await;
        let follower = Follower::start(1, &store);
        follower.knows(&["a"]).await;
        in_use(&relays).dead.set(true);
        put(&store, "b");
        follower.knows(&["a", "b"]).await;
        assert_eq!(
            follower.own.calls.get(),
            0,
            "the other relay of the zone tells"
        );
        // The one that is left stands in another zone.
        for relay in &relays[..2] {
            relay.dead.set(true);
        }
        put(&store, "c");
        follower.knows_in_time(&["a", "b", "c"]).await;
        // One of the two is waited for; the store is asked at most where the machine is busy.
        let asked = follower.own.calls.get();
        assert!(asked <= 2, "{asked} calls");
        actix_rt::time::sleep(Duration::from_secs(3)).await;
        put(&store, "d");
        follower.knows_in_time(&["a", "b", "c", "d"]).await;
        assert_eq!(
            follower.own.calls.get(),
            asked,
            "the relay that is left tells"
        );
    });
}

#[test]
fn a_node_learns_in_time_whatever_becomes_of_its_relays() {
    for way in [Way::Refused, Way::Silent] {
        run(async move {
            let store = MemoryStore::new();
            put(&store, "a");
            let relays = start_relays(&["z1", "z1", "z2"], &store).await;
            let follower = Follower::start(1, &store);
            follower.knows(&["a"]).await;
            for relay in &relays {
                relay.store.way.set(way);
            }
            put(&store, "b");
            follower.knows_in_time(&["a", "b"]).await;
            let limit = Follower::most_listings(budget().bound() * 2);
            assert!(follower.own.calls.get() <= limit, "more than {limit} calls");
            for relay in &relays {
                relay.dead.set(true);
            }
            put(&store, "c");
            follower.knows_in_time(&["a", "b", "c"]).await;
        });
    }
}

#[test]
fn a_relay_out_of_contact_passes_on_nothing() {
    for way in [Way::Refused, Way::Silent] {
        run(async move {
            let store = MemoryStore::new();
            put(&store, "a");
            let relays = start_relays(&["z1", "z1"], &store).await;
            let followers = [0, 1, 2, 3].map(|number| Follower::start(number, &store));
            join_all(followers.iter().map(|one| one.knows(&["a"]))).await;
            in_use(&relays).store.way.set(way);
            put(&store, "b");
            join_all(followers.iter().map(|one| one.knows(&["a", "b"]))).await;
            let own: usize = followers.iter().map(|one| one.own.calls.get()).sum();
            assert_eq!(own, 0, "{way:?}");
        });
    }
}

#[test]
fn a_cut_that_no_other_relay_tells_of_is_noticed() {
    run(async {
        let store = MemoryStore::new();
        put(&store, "a");
        let relays = start_relays(&["z1", "z2"], &store).await;
        let follower = Follower::start(1, &store);
        follower.knows(&["a"]).await;
        let used = in_use(&relays);
        used.store.way.set(Way::Silent);
        put(&store, "b");
        // A watch that waits ends after 18 s only; nobody follows the other relay yet.
        let known = tokio::time::timeout(Duration::from_secs(6), follower.knows(&["a", "b"]));
        known.await.expect("the cut is noticed");
        assert_eq!(follower.own.calls.get(), 0, "the other relay is asked");
    });
}

#[test]
fn a_relay_that_nobody_asks_asks_nothing() {
    run(async {
        let store = MemoryStore::new();
        let relays = start_relays(&["z1"], &store).await;
        actix_rt::time::sleep(Duration::from_secs(2)).await;
        let asked = &relays[0].store;
        assert_eq!((asked.calls.get(), asked.probes.get()), (0, 0));
    });
}

#[test]
fn the_store_itself_is_asked_where_no_relay_is_of_use_and_relays_again_afterwards() {
    run(async {
        let store = MemoryStore::new();
        put(&store, "a");
        let relays = start_relays(&["z1"], &store).await;
        relays[0].store.way.set(Way::Refused);
        let follower = Follower::start(1, &store);
        follower.knows(&["a"]).await;
        assert!(follower.own.calls.get() > 0, "the store itself is asked");
        relays[0].store.way.set(Way::Open);
        follower.own.way.set(Way::Refused);
        put(&store, "b");
        follower.knows(&["a", "b"]).await;
    });
}

#[test]
fn a_relay_that_knows_less_than_the_asker_asks_the_store_anew() {
    run(async {
        let store = MemoryStore::new();
        put(&store, "a");
        let own = OwnStore::new(&store);
        let relay = Relay::new(own.clone(), log(), relayed_kinds(), Rc::new(|_, _| {}));
        let first = relay.list(BACKENDS, None, 0).await;
        let PeerResponse::Page(page) = first else {
            panic!("{first:?}");
        };
        // Other kinds move the store's revision on, of which the relay's watch is not told.
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
fn a_store_that_is_down_for_all_is_asked_by_relays_alone() {
    run(async {
        let store = MemoryStore::new();
        put(&store, "a");
        let relays = start_relays(&["z1", "z1", "z2"], &store).await;
        let followers: Vec<Follower> = (0..20)
            .map(|number| Follower::start(number, &store))
            .collect();
        join_all(followers.iter().map(|one| one.knows(&["a"]))).await;
        let before = store.calls();
        for relay in &relays {
            relay.store.way.set(Way::Refused);
        }
        for follower in &followers {
            follower.own.way.set(Way::Refused);
        }
        // Ends the watches that wait.
        put(&store, "b");
        actix_rt::time::sleep(Duration::from_secs(4)).await;
        let own: usize = followers.iter().map(|one| one.own.calls.get()).sum();
        let listings = store.calls() - before;
        assert_eq!(
            (own, listings),
            (0, 0),
            "neither back ends nor nodes are asked for"
        );
        // A look whether the store can be reached costs a tenth of a question.
        let probes: usize = followers.iter().map(|one| one.own.probes.get()).sum();
        assert!(probes <= 6 * followers.len(), "{probes} looks in 4 s");
        for relay in &relays {
            relay.store.way.set(Way::Open);
        }
        join_all(followers.iter().map(|one| one.knows(&["a", "b"]))).await;
    });
}

#[test]
fn a_relay_tells_how_old_its_contact_is() {
    run(async {
        let store = MemoryStore::new();
        put(&store, "a");
        let relays = start_relays(&["z1"], &store).await;
        let follower = Follower::start(1, &store);
        follower.knows(&["a"]).await;
        while follower.belief.as_of().is_none() {
            pause().await;
        }
        assert_eq!(follower.belief.source().as_deref(), Some("r0"));
        // Nothing is heard of the store any more: what the relay tells is of before.
        let closed_at = tokio::time::Instant::now();
        relays[0].store.way.set(Way::Silent);
        actix_rt::time::sleep(Duration::from_millis(400)).await;
        assert!(follower.belief.as_of() <= Some(closed_at));
    });
}
