//! Role shares reach the engines as fenced orders.

use crate::cluster::{Cluster, declarations, proposal, until_async};
use firshore_lab::http::Call;
use firshore_lab::stand_in::engine;
use firshore_lab::stand_in::server::Server;
use firshore_types::ids::MachineName;
use firshore_types::labels::Labels;
use firshore_types::machine::{Machine, MachineState};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::Duration;

const POOL: &str = "
kind: EnginePool
metadata: {name: engines}
spec: {machines: {matchLabels: {pool: engines}}}
---
kind: Service
metadata: {name: m}
spec: {protocol: model, model: m, pool: engines}
";

/// Time in which a controller would repeat an order several times.
const SEVERAL_TICKS: Duration = Duration::from_secs(4);

fn shares(text: &str) -> Vec<firshore_types::declaration::Declaration> {
    declarations(&format!(
        "kind: Policy\nmetadata: {{name: roles}}\nspec: {{roleShares: {text}}}"
    ))
}

fn start_engines(cluster: &Cluster, count: usize) -> Vec<Server> {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let start = |number| engine::start(any_port, &format!("engine-{number}"), 4).unwrap();
    let engines: Vec<Server> = (0..count).map(start).collect();
    let machine = |(number, server): (usize, &Server)| Machine {
        name: MachineName(format!("engine-{number}")),
        address: server.address,
        region: "north".into(),
        zone: "north-0".into(),
        labels: Labels::from_pairs([("pool", "engines")]),
        state: MachineState::Live,
    };
    let machines = engines.iter().enumerate().map(machine).collect();
    cluster.platform.set_machines(machines);
    engines
}

async fn roles(engines: &[Server]) -> Vec<String> {
    let mut roles = Vec::new();
    for engine in engines {
        let answer = Call::get(engine.address, "/load").send().await.unwrap();
        let load: Value = answer.json().unwrap();
        roles.push(load["role"].as_str().unwrap_or_default().to_owned());
    }
    roles.sort();
    roles
}

async fn order(engine: &Server, term: u64, role: &str) -> u16 {
    let fence = json!({"term": term, "sequence": 1});
    let order = json!({"kind": "set_role", "role": role});
    let body = json!({"fence": fence, "order": order}).to_string();
    let answer = Call::post(engine.address, "/orders", body).send().await;
    answer.unwrap().status()
}

#[actix_rt::test]
async fn shares_become_roles_and_a_deposed_controller_is_refused() {
    let cluster = Cluster::start(3).await;
    let engines = start_engines(&cluster, 6);
    let mut start = declarations(POOL);
    start.extend(shares("{online: 50, batch: 50}"));
    cluster.accept(0, &proposal("start", "ann", 0, start)).await;
    let halves = ["batch", "batch", "batch", "online", "online", "online"];
    until_async("half are online", || async {
        roles(&engines).await == halves
    })
    .await;

    let change = proposal("third", "ann", 1, shares("{online: 33, mixed: 67}"));
    cluster.accept(1, &change).await;
    let thirds = ["mixed", "mixed", "mixed", "mixed", "online", "online"];
    until_async("a third is online", || async {
        roles(&engines).await == thirds
    })
    .await;

    assert_eq!(
        order(&engines[0], 1, "batch").await,
        409,
        "an old term is refused"
    );
    let newer = u64::MAX / 2;
    for engine in &engines {
        assert_eq!(order(engine, newer, "batch").await, 200);
    }
    actix_rt::time::sleep(SEVERAL_TICKS).await;
    assert_eq!(
        roles(&engines).await,
        ["batch"; 6],
        "the deposed controller changes nothing"
    );
    cluster.stop();
    engines.into_iter().for_each(Server::stop);
}
