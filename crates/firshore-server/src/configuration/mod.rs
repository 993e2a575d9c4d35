//! Brings the configuration into force on this node: drives the state machine of
//! `firshore-config` with peers, the object API and the clock.

pub mod accept;
pub mod disk;
pub mod floor;
pub mod machines;
pub mod status;

pub use accept::accept;

use crate::platform::object_api::ObjectApi;
use crate::shared::{ConfigurationView, Shared};
use firshore_config::dissemination::{Input, Output, Refusal, TICK_MILLISECONDS};
use firshore_config::history::{Record, RecordError};
use firshore_config::message::Message;
use firshore_config::readers::Peer;
use firshore_config::{CHANGE_PREFIX, SNAPSHOT_KEY, change_key};
use firshore_membership::member::Member;
use firshore_protocol::message::{Request, Response};
use firshore_types::configuration::Configuration;
use firshore_types::ids::{InstanceId, Revision};
use slog::{info, warn};
use std::sync::Arc;
use std::time::Duration;

/// Longest wait of a reader for the next change.
const WATCH_WAIT: Duration = Duration::from_secs(2);

/// Time between two looks whether a reader that waits for the next change still is one.
const ROLE_POLL: Duration = Duration::from_millis(100);

/// Pause between ticks while the node may not serve yet, so that it starts fast.
const START_TICK: Duration = Duration::from_millis(200);

/// Longest wait for the members at the start, in milliseconds.
const MEMBERS_TIMEOUT_MILLISECONDS: u64 = 3_000;

const MEMBERS_POLL: Duration = Duration::from_millis(50);

/// A member as the dissemination sees it.
pub fn peer_of(member: &Member) -> Peer {
    Peer {
        instance: member.instance,
        region: member.region.clone(),
        zone: member.zone.clone(),
    }
}

/// Drives the dissemination until the node ends.
pub async fn run(shared: Arc<Shared>) {
    if let Some(snapshot) = disk::restore(&shared).await {
        advance(&shared, Input::Restored(Box::new(snapshot)));
    }
    actix_rt::spawn(disk::run(shared.clone()));
    await_members(&shared).await;
    let mut known: Vec<Peer> = Vec::new();
    loop {
        shared.floor.lock().alive(shared.clock.now());
        let members = shared.members.lock().alive(shared.clock.now());
        let peers: Vec<Peer> = members.iter().map(peer_of).collect();
        if peers != known {
            known.clone_from(&peers);
            advance(&shared, Input::Members(peers));
        }
        advance(&shared, Input::Tick);
        let serving = shared.floor.lock().check(shared.clock.now()).is_ok();
        let pause = if serving {
            Duration::from_millis(TICK_MILLISECONDS)
        } else {
            START_TICK
        };
        actix_rt::time::sleep(pause).await;
    }
}

/// Waits until the members are known: a node that knows only itself would take itself for a reader
/// of the object API, and after a power cut all of them would at once.
pub(crate) async fn await_members(shared: &Shared) {
    let current = || shared.members.lock().is_current(shared.clock.now());
    while !current() && shared.clock.now() < MEMBERS_TIMEOUT_MILLISECONDS {
        actix_rt::time::sleep(MEMBERS_POLL).await;
    }
}

/// Steps the state machine and does what it asks for.
pub fn advance(shared: &Arc<Shared>, input: Input) {
    for output in step(shared, input) {
        perform(shared, output);
    }
}

/// Answers a peer: what is meant for the peer itself goes back as the answer.
pub fn answer(shared: &Arc<Shared>, from: InstanceId, message: Message) -> Vec<Message> {
    let mut answers = Vec::new();
    for output in step(shared, Input::FromPeer { from, message }) {
        match output {
            Output::Send { to, message } if to == from => answers.push(message),
            output => perform(shared, output),
        }
    }
    answers
}

fn step(shared: &Shared, input: Input) -> Vec<Output> {
    let now = shared.clock.now();
    let (outputs, floor) = {
        let mut dissemination = shared.dissemination.lock();
        let outputs = dissemination.step(now, input);
        (outputs, dissemination.floor())
    };
    shared.floor.lock().floor_heard(now, floor);
    outputs
}

fn perform(shared: &Arc<Shared>, output: Output) {
    match output {
        Output::Send { to, message } => {
            actix_rt::spawn(send(shared.clone(), to, message));
        }
        Output::WatchObjects { after } => {
            actix_rt::spawn(watch(shared.clone(), after));
        }
        Output::InForce(configuration) => put_into_force(shared, configuration),
        Output::Refused(refusal) => report(shared, &refusal),
    }
}

/// Two threads may arrive here in either order; the newer configuration stays.
fn put_into_force(shared: &Shared, configuration: Arc<Configuration>) {
    let revision = configuration.revision;
    let view = Arc::new(ConfigurationView::new(configuration));
    shared.floor.lock().in_force(shared.clock.now(), revision);
    let mut held = shared.configuration.write();
    if held.configuration.revision < revision {
        *held = view;
        info!(shared.log, "configuration: In force."; "revision" => %revision);
    }
}

fn report(shared: &Shared, refusal: &Refusal) {
    let from = refusal
        .from
        .map_or("object API".to_owned(), |peer| peer.to_string());
    warn!(shared.log, "configuration: Change refused.";
        "revision" => %refusal.revision, "from" => from, "reason" => %refusal.error);
    if matches!(refusal.error, RecordError::Unreadable(_)) {
        shared.floor.lock().unreadable(refusal.revision);
    }
    *shared.refused_change.lock() =
        Some(format!("Revision {}: {}", refusal.revision, refusal.error));
}

async fn send(shared: Arc<Shared>, to: InstanceId, message: Message) {
    let (address, from) = {
        let members = shared.members.lock();
        (members.address_of(to), members.own().instance)
    };
    let Some(address) = address else {
        return;
    };
    let request = Request::Configuration { from, message };
    let answer = shared.peers.call(address, request).await;
    if let Ok(Response::Configuration(messages)) = answer {
        for message in messages {
            advance(&shared, Input::FromPeer { from: to, message });
        }
    }
}

async fn watch(shared: Arc<Shared>, after: Revision) {
    let objects = ObjectApi::new(&shared.settings.platform.object_api);
    let after = start_from_snapshot(&shared, &objects, after).await;
    let key = change_key(after);
    let found = tokio::select! {
        found = objects.list_after(CHANGE_PREFIX, &key, WATCH_WAIT) => found,
        // Another node reads by now, and the object API bears few readers.
        () = reader_no_longer(&shared) => {
            info!(shared.log, "configuration: Read of the object API given up."; "reason" => "no reader");
            Ok(Vec::new())
        }
    };
    let input = match found {
        Ok(found) => Input::ObjectsRead(readable(&shared, found)),
        Err(error) => {
            warn!(shared.log, "configuration: Object API unreadable."; "reason" => %error);
            Input::ObjectsUnread
        }
    };
    advance(&shared, input);
}

/// Returns once this node is no reader.
async fn reader_no_longer(shared: &Shared) {
    while shared.dissemination.lock().is_reader(shared.clock.now()) {
        actix_rt::time::sleep(ROLE_POLL).await;
    }
}

/// A node that holds nothing starts from the snapshot in the object API, if there is one, rather
/// than from the first change ever made.
async fn start_from_snapshot(
    shared: &Arc<Shared>,
    objects: &ObjectApi,
    after: Revision,
) -> Revision {
    if after > Revision(0) {
        return after;
    }
    let Ok(Some(object)) = objects.get(SNAPSHOT_KEY).await else {
        return after;
    };
    match serde_json::from_str(&object.value) {
        Ok(snapshot) => advance(shared, Input::Restored(Box::new(snapshot))),
        Err(error) => {
            warn!(shared.log, "configuration: Snapshot unreadable."; "reason" => %error);
        }
    }
    shared.dissemination.lock().history().head()
}

/// Records among the objects; one that is no change object ends the listing, as nothing after it
/// could follow.
fn readable(shared: &Shared, objects: Vec<crate::platform::object_api::Object>) -> Vec<Record> {
    let mut records = Vec::new();
    for object in objects {
        match Record::from_text(object.value) {
            Ok(record) => records.push(record),
            Err(error) => {
                warn!(shared.log, "configuration: Object unreadable.";
                    "key" => object.key, "reason" => %error);
                break;
            }
        }
    }
    records
}
