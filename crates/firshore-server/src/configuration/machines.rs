//! Follows the machine list: drives its state machine with peers, the platform and the clock.

use crate::clock::unix_milliseconds;
use crate::configuration::{await_members, peer_of};
use crate::platform::machine_list;
use crate::shared::Shared;
use firshore_config::machine_list::{Input, MachineListMessage, Output, TICK_MILLISECONDS};
use firshore_config::readers::Peer;
use firshore_protocol::message::{Request, Response};
use firshore_types::ids::InstanceId;
use firshore_types::machine::Machine;
use std::sync::Arc;
use std::time::Duration;

/// Follows the machine list until the node ends.
pub async fn run(shared: Arc<Shared>) {
    await_members(&shared).await;
    let mut known: Vec<Peer> = Vec::new();
    loop {
        let members = shared.members.lock().alive(shared.clock.now());
        let peers: Vec<Peer> = members.iter().map(peer_of).collect();
        if peers != known {
            known.clone_from(&peers);
            advance(&shared, Input::Members(peers));
        }
        advance(&shared, Input::Tick);
        actix_rt::time::sleep(Duration::from_millis(TICK_MILLISECONDS)).await;
    }
}

/// Answers a peer: what is meant for the peer itself goes back as the answer.
pub fn answer(
    shared: &Arc<Shared>,
    from: InstanceId,
    message: MachineListMessage,
) -> Vec<MachineListMessage> {
    let mut answers = Vec::new();
    for output in step(shared, Input::FromPeer { from, message }) {
        match output {
            Output::Send { to, message } if to == from => answers.push(message),
            output => perform(shared, output),
        }
    }
    answers
}

fn advance(shared: &Arc<Shared>, input: Input) {
    for output in step(shared, input) {
        perform(shared, output);
    }
}

fn step(shared: &Shared, input: Input) -> Vec<Output> {
    let now = shared.clock.now();
    let mut list = shared.machine_list.lock();
    let mut outputs = list.step(now, input);
    // Put into use under the lock, so that two threads cannot do it in the wrong order.
    outputs.retain(|output| match output {
        Output::Changed(machines) => {
            put_into_use(shared, machines.clone());
            false
        }
        Output::Send { .. } | Output::ReadList => true,
    });
    outputs
}

fn put_into_use(shared: &Shared, machines: Arc<Vec<Machine>>) {
    *shared.machines.write() = machines.clone();
    shared.router.lock().update(shared.clock.now(), &machines);
}

fn perform(shared: &Arc<Shared>, output: Output) {
    match output {
        Output::Send { to, message } => {
            actix_rt::spawn(send(shared.clone(), to, message));
        }
        Output::ReadList => {
            actix_rt::spawn(read(shared.clone()));
        }
        Output::Changed(_) => {}
    }
}

async fn read(shared: Arc<Shared>) {
    if let Some(machines) = machine_list::read(&shared.settings.platform.machine_list).await {
        let read_at = unix_milliseconds();
        advance(&shared, Input::Read { read_at, machines });
    }
}

async fn send(shared: Arc<Shared>, to: InstanceId, message: MachineListMessage) {
    let members = shared.members.lock().members(shared.clock.now());
    let Some(member) = members.iter().find(|member| member.instance == to) else {
        return;
    };
    let from = shared.members.lock().own().instance;
    let request = Request::MachineList { from, message };
    let answer = shared.peers.call(member.peer_address, request).await;
    if let Ok(Response::MachineList(messages)) = answer {
        for message in messages {
            advance(&shared, Input::FromPeer { from: to, message });
        }
    }
}
