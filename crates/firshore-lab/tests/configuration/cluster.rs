//! Nodes in this process beside a platform whose faults the tests set.

use actix_http::Method;
use firshore_config::proposal::Proposal;
use firshore_lab::http::Call;
use firshore_lab::stand_in::platform::Platform;
use firshore_server::admin::{Accepted, Status};
use firshore_server::logging;
use firshore_server::node::Node;
use firshore_server::settings::{
    Cluster as ClusterSettings, JournalSettings, LimitSettings, Listen, LogSettings,
    Platform as PlatformSettings, Settings, Storage,
};
use firshore_types::configuration::Configuration;
use firshore_types::declaration::Declaration;
use firshore_types::ids::{ChangeId, Revision};
use firshore_types::validation::parse_declarations;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tempfile::TempDir;

/// Generous bound on everything that a test waits for.
const PATIENCE: Duration = Duration::from_secs(40);

const POLL: Duration = Duration::from_millis(50);

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// A node's answer to a proposal.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub body: Value,
}

impl Answer {
    pub fn revision(&self) -> u64 {
        assert_eq!(self.status, 200, "{}", self.body);
        self.body["revision"].as_u64().expect("a revision")
    }

    pub fn message(&self) -> &str {
        self.body["error"]["message"].as_str().expect("a message")
    }

    pub fn execution(&self) -> &str {
        self.body["error"]["execution"]
            .as_str()
            .expect("an execution")
    }
}

/// Nodes and platform.
pub struct Cluster {
    pub platform: Platform,
    pub nodes: Vec<Node>,
    folder: TempDir,
    started: usize,
}

impl Cluster {
    /// Starts nodes in three zones and waits until they know one another.
    pub async fn start(count: usize) -> Self {
        let platform = Platform::start(any_port()).expect("the platform starts");
        Self::start_on(platform, TempDir::new().expect("a folder"), count).await
    }

    async fn start_on(platform: Platform, folder: TempDir, count: usize) -> Self {
        let mut cluster = Self {
            platform,
            nodes: Vec::new(),
            folder,
            started: 0,
        };
        for _ in 0..count {
            cluster.add_node();
        }
        for node in &cluster.nodes {
            let alive = || {
                node.shared
                    .members
                    .lock()
                    .alive(node.shared.clock.now())
                    .len()
            };
            until("all members know one another", || alive() == count).await;
            let floor = || node.shared.floor.lock().is_confirmed();
            until("the journal has a leader and tells the floor", floor).await;
        }
        cluster
    }

    /// Starts one more node.
    pub fn add_node(&mut self) {
        let number = self.started;
        self.started += 1;
        let name = format!("node-{number}");
        let data_folder = self.folder.path().join(&name);
        std::fs::create_dir_all(&data_folder).expect("the folder is ours");
        let address = self.platform.server.address;
        let settings = Settings {
            name: name.as_str().into(),
            region: "north".into(),
            zone: format!("north-{}", number % 3).as_str().into(),
            listen: Listen {
                callers: any_port(),
                peers: any_port(),
                admin: any_port(),
                advertised_peers: None,
            },
            cluster: ClusterSettings {
                secret: "configuration-test-secret".to_owned(),
                seeds: self.nodes.iter().map(|node| node.peers).collect(),
            },
            platform: PlatformSettings {
                object_api: format!("http://{address}"),
                machine_list: format!("http://{address}"),
            },
            storage: Some(Storage { data_folder }),
            journal: JournalSettings::default(),
            log: LogSettings::default(),
            limits: LimitSettings {
                workers: 1,
                ..LimitSettings::default()
            },
        };
        let node = Node::start(settings, logging::silent()).expect("the node starts");
        self.nodes.push(node);
    }

    /// Stops everything.
    pub fn stop(self) {
        stop_nodes(self.nodes);
        self.platform.server.stop();
    }

    /// Stops all nodes and starts as many with the same disks beside the same platform.
    pub async fn restarted(self) -> Self {
        let count = self.nodes.len();
        stop_nodes(self.nodes);
        Self::start_on(self.platform, self.folder, count).await
    }

    /// Stops all nodes and starts others with empty disks beside the same platform. As every disk
    /// is lost, the objects that name the journal's founders are removed, as an operator would.
    pub async fn succeeded_by(mut self, count: usize) -> Self {
        stop_nodes(std::mem::take(&mut self.nodes));
        for key in self.keys("journal/groups/").await {
            self.delete_object(&key).await;
        }
        Self::start_on(self.platform, TempDir::new().expect("a folder"), count).await
    }

    /// Nodes that keep a configuration on their disk.
    pub fn kept_on_disk(&self) -> usize {
        let kept = |node: &&Node| {
            let storage = node.shared.settings.storage.as_ref();
            storage.is_some_and(|storage| storage.data_folder.join("configuration.json").exists())
        };
        self.nodes.iter().filter(kept).count()
    }

    pub async fn put_object(&self, key: &str, value: String) {
        let call = Call::new(
            self.platform.server.address,
            Method::PUT,
            &format!("/objects/{key}"),
        );
        assert_eq!(
            call.body(value).send().await.expect("an answer").status(),
            200
        );
    }

    pub async fn delete_object(&self, key: &str) {
        let path = format!("/objects/{key}");
        let call = Call::new(self.platform.server.address, Method::DELETE, &path);
        assert_eq!(call.send().await.expect("an answer").status(), 200);
    }

    /// Sends a proposal to a node.
    pub async fn propose(&self, node: usize, proposal: &Proposal) -> Answer {
        let call = Call::new(self.nodes[node].admin, Method::POST, "/configuration");
        let text = serde_json::to_string(proposal).expect("proposals serialise");
        let answer = call.body(text).send().await.expect("the node answers");
        Answer {
            status: answer.head.status.as_u16(),
            body: serde_json::from_slice(&answer.body).expect("JSON"),
        }
    }

    /// Sends a proposal that must be accepted.
    pub async fn accept(&self, node: usize, proposal: &Proposal) -> u64 {
        let answer = self.propose(node, proposal).await;
        let accepted: Result<Accepted, _> = serde_json::from_value(answer.body.clone());
        assert!(accepted.is_ok(), "{answer:?}");
        answer.revision()
    }

    pub async fn status(&self, node: usize) -> Status {
        let answer = Call::get(self.nodes[node].admin, "/status").send().await;
        serde_json::from_slice(&answer.expect("an answer").body).expect("a status")
    }

    /// Status of `/readyz` on a node.
    pub async fn readiness(&self, node: usize) -> u16 {
        let answer = Call::get(self.nodes[node].admin, "/readyz").send().await;
        answer.expect("an answer").head.status.as_u16()
    }

    pub fn in_force(&self, node: usize) -> Revision {
        self.configuration(node).revision
    }

    pub fn configuration(&self, node: usize) -> Configuration {
        let view = self.nodes[node].shared.configuration();
        (*view.configuration).clone()
    }

    /// Waits until every node has `revision` in force.
    pub async fn converge(&self, revision: u64) {
        for node in 0..self.nodes.len() {
            until("the revision is in force", || {
                self.in_force(node) == Revision(revision)
            })
            .await;
        }
    }

    /// Keys of the change objects that the object API holds.
    pub async fn change_objects(&self) -> Vec<String> {
        self.keys("changes/").await
    }

    async fn keys(&self, prefix: &str) -> Vec<String> {
        let address = self.platform.server.address;
        let answer = Call::get(address, &format!("/objects?prefix={prefix}"))
            .send()
            .await;
        let found: Vec<Value> = serde_json::from_slice(&answer.expect("an answer").body).unwrap();
        let key = |object: &Value| object["key"].as_str().expect("a key").to_owned();
        found.iter().map(key).collect()
    }
}

fn stop_nodes(nodes: Vec<Node>) {
    for node in &nodes {
        node.stop();
    }
    for node in nodes {
        node.join();
    }
}

/// Waits until `condition` holds.
pub async fn until(what: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + PATIENCE;
    while !condition() {
        assert!(Instant::now() < deadline, "not in time: {what}");
        actix_rt::time::sleep(POLL).await;
    }
}

/// Waits until what must be asked for holds.
pub async fn until_async<F: Future<Output = bool>>(what: &str, condition: impl Fn() -> F) {
    let deadline = Instant::now() + PATIENCE;
    while !condition().await {
        assert!(Instant::now() < deadline, "not in time: {what}");
        actix_rt::time::sleep(POLL).await;
    }
}

/// Reads declarations.
pub fn declarations(text: &str) -> Vec<Declaration> {
    parse_declarations("test", text).expect("the declarations parse")
}

/// A tenant with a label.
pub fn tenant(name: &str, team: &str, priority: u8) -> Declaration {
    let text = format!(
        "kind: Tenant\nmetadata: {{name: {name}, labels: {{team: {team}}}}}\nspec: {{keyDigests: [], priority: {priority}}}"
    );
    declarations(&text).remove(0)
}

/// A proposal of declarations on a base.
pub fn proposal(id: &str, author: &str, base: u64, upserts: Vec<Declaration>) -> Proposal {
    Proposal {
        change_id: ChangeId::from(id),
        author: author.to_owned(),
        base: Revision(base),
        upserts,
        removals: Vec::new(),
    }
}
