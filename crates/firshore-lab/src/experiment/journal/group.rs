//! Three nodes in this process, one journal group on disk, nothing else under load.

use crate::stand_in::platform::Platform;
use firshore_server::journal::GroupStatus;
use firshore_server::logging;
use firshore_server::node::Node;
use firshore_server::settings::Settings;
use firshore_server::shared::Shared;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Nodes, each with a disk, in three zones.
pub const NODES: usize = 3;

const PATIENCE: Duration = Duration::from_secs(120);
const POLL: Duration = Duration::from_millis(5);

fn text(error: impl std::fmt::Display) -> String {
    error.to_string()
}

/// The nodes.
pub struct JournalGroup {
    platform: Platform,
    folder: PathBuf,
    nodes: Vec<Option<Node>>,
}

impl JournalGroup {
    /// Starts the nodes and waits until the group has three voters.
    pub async fn start(folder: PathBuf) -> Result<Self, String> {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut group = Self {
            platform: Platform::start(any).map_err(text)?,
            folder,
            nodes: (0..NODES).map(|_| None).collect(),
        };
        for number in 0..NODES {
            group.start_node(number)?;
        }
        group
            .until("three voters", |group| {
                let status = group.leader().map(|leader| group.status(leader));
                status.is_some_and(|status| status.membership.voters().count() == NODES)
            })
            .await?;
        Ok(group)
    }

    /// Starts a node on the disk that it had before.
    pub fn start_node(&mut self, number: usize) -> Result<(), String> {
        let seeds: Vec<String> = self
            .nodes
            .iter()
            .flatten()
            .map(|node| format!("'{}'", node.peers))
            .collect();
        let settings = format!(
            "name = 'node-{number}'\nregion = 'north'\nzone = 'north-{number}'\n\
             [listen]\ncallers = '127.0.0.1:0'\npeers = '127.0.0.1:0'\nadmin = '127.0.0.1:0'\n\
             [cluster]\nsecret = 'secret-of-the-journal-experiment'\nseeds = [{}]\n\
             [platform]\nobject_api = 'http://{platform}'\nmachine_list = 'http://{platform}'\n\
             [storage]\ndata_folder = '{}'\n[limits]\nworkers = 1\n",
            seeds.join(", "),
            self.folder.join(format!("node-{number}")).display(),
            platform = self.platform.server.address,
        );
        let settings: Settings = toml::from_str(&settings).map_err(text)?;
        self.nodes[number] = Some(Node::start(settings, logging::silent()).map_err(text)?);
        Ok(())
    }

    /// Tables of a node that runs.
    pub fn shared(&self, number: usize) -> Arc<Shared> {
        let node = self.nodes[number].as_ref().expect("the node runs");
        node.shared.clone()
    }

    /// State of a node's replica.
    pub fn status(&self, number: usize) -> Arc<GroupStatus> {
        let shared = self.shared(number);
        let journal = shared.journal.as_ref().expect("every node has a disk");
        journal.groups()[0].status()
    }

    /// The leader, if one is known.
    pub fn leader(&self) -> Option<usize> {
        (0..NODES)
            .filter(|number| self.nodes[*number].is_some())
            .find(|number| self.status(*number).leads)
    }

    /// Waits; the time that it took.
    pub async fn until(
        &self,
        what: &str,
        holds: impl Fn(&Self) -> bool,
    ) -> Result<Duration, String> {
        let start = Instant::now();
        while !holds(self) {
            if start.elapsed() > PATIENCE {
                return Err(format!("not in time: {what}"));
            }
            actix_rt::time::sleep(POLL).await;
        }
        Ok(start.elapsed())
    }

    /// Ends a node's replica without a word to the others.
    pub fn kill_replica(&mut self, number: usize) {
        let shared = self.shared(number);
        if let Some(journal) = &shared.journal {
            journal.groups()[0].stop();
        }
    }

    /// Ends a node whose replica was killed.
    pub fn end_node(&mut self, number: usize) {
        if let Some(node) = self.nodes[number].take() {
            node.stop();
            node.join();
        }
    }

    /// Stops everything.
    pub fn stop(mut self) {
        for number in 0..NODES {
            self.end_node(number);
        }
        self.platform.server.stop();
    }
}
