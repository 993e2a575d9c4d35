//! Back ends' load and cache events: read by the owner of each, told to the nodes of its zone.

use crate::shared::Shared;
use actix_http::Method;
use bytes::Bytes;
use firshore_exchange::exchange;
use firshore_protocol::message::Request;
use firshore_routing::digest::{LoadDigest, LoadEntry, NameHash};
use firshore_routing::load::LoadReport;
use firshore_types::hash::rendezvous_owner;
use firshore_types::ids::MachineName;
use firshore_types::machine::Machine;
use futures_util::future::join_all;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use slog::info;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// Time between two looks at the load of an owned back end and between two digests.
const INTERVAL: Duration = Duration::from_millis(1_000);

const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

const MAXIMUM_ANSWER_BYTES: usize = 256 * 1024;

/// Unchanged entries are told again after this time in milliseconds.
const REPEAT_MILLISECONDS: u64 = 5_000;

/// Load as a back end reports it on `GET /load`.
#[derive(Debug, Deserialize)]
struct LoadAnswer {
    running: u32,
    waiting: u32,
    slots: u32,
    #[serde(default)]
    draining: bool,
    #[serde(default)]
    age_milliseconds: u64,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
enum CacheEventKind {
    Stored,
    Evicted,
}

#[derive(Debug, Deserialize)]
struct CacheEvent {
    kind: CacheEventKind,
    block: String,
}

#[derive(Debug, Deserialize)]
struct CacheEvents {
    events: Vec<CacheEvent>,
    next: u64,
}

/// What was last told of one back end.
struct Told {
    entry: LoadEntry,
    at: u64,
}

#[derive(Default)]
struct Progress {
    cache_positions: RefCell<HashMap<MachineName, u64>>,
    told: RefCell<HashMap<NameHash, Told>>,
}

/// Reads and tells until the node ends.
pub async fn run(shared: Arc<Shared>) {
    let progress = Progress::default();
    loop {
        let owned = owned(&shared);
        let looks = owned
            .iter()
            .map(|machine| look(&shared, &progress, machine));
        let entries: Vec<LoadEntry> = join_all(looks).await.into_iter().flatten().collect();
        tell(&shared, &progress, entries);
        let kept = |name: &MachineName| owned.iter().any(|machine| machine.name == *name);
        progress
            .cache_positions
            .borrow_mut()
            .retain(|name, _| kept(name));
        actix_rt::time::sleep(INTERVAL).await;
    }
}

/// Machines whose owner this node is among the live nodes of their zone.
fn owned(shared: &Shared) -> Vec<Machine> {
    let (members, own) = {
        let members = shared.members.lock();
        (members.alive(shared.clock.now()), members.own().clone())
    };
    let same_zone: Vec<u64> = members
        .iter()
        .filter(|member| member.zone == own.zone)
        .map(|member| member.instance.0)
        .collect();
    let machines = shared.machines.read().clone();
    machines
        .iter()
        .filter(|machine| machine.zone == own.zone)
        .filter(|machine| {
            let nodes = same_zone.iter().copied();
            rendezvous_owner(machine.name.as_str(), nodes) == Some(own.instance.0)
        })
        .cloned()
        .collect()
}

async fn get<T: DeserializeOwned>(address: SocketAddr, path: &str) -> Option<T> {
    let head = exchange::request_head(Method::GET, path, address).ok()?;
    let work = async {
        let mut answer = exchange::send(address, head, Bytes::new()).await.ok()?;
        let body = answer.body.read_whole(MAXIMUM_ANSWER_BYTES).await.ok()?;
        serde_json::from_slice(&body).ok()
    };
    timeout(ANSWER_TIMEOUT, work).await.ok()?
}

async fn look(shared: &Shared, progress: &Progress, machine: &Machine) -> Option<LoadEntry> {
    let load: LoadAnswer = get(machine.address, "/load").await?;
    let now = shared.clock.now();
    let report = LoadReport {
        running: load.running,
        waiting: load.waiting,
        slots: load.slots,
    };
    let entry = LoadEntry {
        name: NameHash::of(machine.name.as_str()),
        report,
        draining: load.draining,
        age: load.age_milliseconds,
    };
    take(shared, now, machine, &entry);
    follow_cache(shared, progress, machine).await;
    Some(entry)
}

fn take(shared: &Shared, now: u64, machine: &Machine, entry: &LoadEntry) {
    let mut router = shared.router.lock();
    let Some(index) = router.endpoints.find(&machine.name) else {
        return;
    };
    let was_draining = !router.endpoints.get(index).is_available(now);
    router.record_report(index, now.saturating_sub(entry.age), entry.report);
    if entry.draining {
        router.record_draining(now, index);
    }
    drop(router);
    if entry.draining && !was_draining {
        info!(shared.log, "routing: Engine draining."; "engine" => %machine.name);
    }
}

/// Feeds the prefix index. Events that are missing cost only knowledge.
async fn follow_cache(shared: &Shared, progress: &Progress, machine: &Machine) {
    let held = progress
        .cache_positions
        .borrow()
        .get(&machine.name)
        .copied();
    let after = held.unwrap_or(0);
    let path = format!("/cache-events?after={after}");
    let Some(page) = get::<CacheEvents>(machine.address, &path).await else {
        return;
    };
    let mut router = shared.router.lock();
    let Some(index) = router.endpoints.find(&machine.name) else {
        return;
    };
    if page.next < after {
        // The engine counts anew: it was restarted, with an empty cache.
        router.affinity.remove_endpoint(index);
    }
    for event in &page.events {
        let Ok(block) = u64::from_str_radix(&event.block, 16) else {
            continue;
        };
        match event.kind {
            CacheEventKind::Stored => router.affinity.record_stored(block, index),
            CacheEventKind::Evicted => router.affinity.record_evicted(block, index),
        }
    }
    drop(router);
    let mut positions = progress.cache_positions.borrow_mut();
    positions.insert(machine.name.clone(), page.next);
}

/// Tells the nodes of the zone what has changed.
fn tell(shared: &Shared, progress: &Progress, entries: Vec<LoadEntry>) {
    let now = shared.clock.now();
    let mut told = progress.told.borrow_mut();
    told.retain(|_, told| now < told.at + 2 * REPEAT_MILLISECONDS);
    let news: Vec<LoadEntry> = entries
        .into_iter()
        .filter(|entry| {
            let last = told.get(&entry.name);
            last.is_none_or(|last| differs(last, entry) || now >= last.at + REPEAT_MILLISECONDS)
        })
        .collect();
    if news.is_empty() {
        return;
    }
    for entry in &news {
        told.insert(
            entry.name,
            Told {
                entry: *entry,
                at: now,
            },
        );
    }
    let digest = LoadDigest::pack(&news);
    let (members, own) = {
        let members = shared.members.lock();
        (members.alive(now), members.own().clone())
    };
    let peers = members
        .iter()
        .filter(|member| member.zone == own.zone && member.instance != own.instance);
    for peer in peers {
        let digest = Request::LoadDigest(digest.clone());
        shared.peers.notify(peer.peer_address, digest);
    }
}

fn differs(last: &Told, entry: &LoadEntry) -> bool {
    last.entry.report != entry.report || last.entry.draining != entry.draining
}
