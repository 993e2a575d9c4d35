//! What back ends told of their pace, passed on once to each of those who ask. No I/O.
//!
//! One of many nodes hears from one of many back ends every few seconds, all of them together some times a
//! second. A figure is of the moment, so that each is told on as soon as somebody asks, and never again.

use firshore_adapter::backend::Pace;
use firshore_adapter::incarnation::BackendName;
use firshore_gateway::fleet::PaceReport;
use firshore_types::ids::NodeName;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Age at which a figure is not passed on any more: it is another one by then.
const LIFETIME: Duration = Duration::from_millis(500);

/// Time after which who has not asked is forgotten.
const ASKER_LIFETIME: Duration = Duration::from_secs(5);

/// Pace of a back end as it travels.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendPace {
    /// Back end.
    #[serde(rename = "b")]
    pub backend: String,
    /// How long work takes there, in hundredths of the usual time.
    #[serde(rename = "p")]
    pub hundredths: u32,
}

/// Who tells and asks.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum PaceSource {
    /// A node.
    Node(NodeName),
    /// The journal's leader, for a relay.
    Leader,
}

struct HeardPace {
    pace: Pace,
    at: Instant,
    number: u64,
    source: PaceSource,
}

/// How far somebody has been told.
struct AskerState {
    number: u64,
    at: Instant,
}

/// The last pace of each back end that anybody told.
#[derive(Default)]
pub struct PaceTable {
    heard: HashMap<BackendName, HeardPace>,
    askers: HashMap<PaceSource, AskerState>,
    number: u64,
}

impl PaceTable {
    /// Takes in what somebody heard from back ends.
    pub fn record(&mut self, now: Instant, source: &PaceSource, paces: Vec<BackendPace>) {
        for one in paces {
            let Some(pace) = Pace::from_hundredths(one.hundredths) else {
                continue;
            };
            self.number += 1;
            let heard = HeardPace {
                pace,
                at: now,
                number: self.number,
                source: source.clone(),
            };
            self.heard.insert(BackendName::from(one.backend), heard);
        }
    }

    /// Returns what others told since the same asker was answered last.
    pub fn take_updates(&mut self, now: Instant, asker: &PaceSource) -> Vec<BackendPace> {
        self.forget_old(now);
        let state = AskerState {
            number: self.number,
            at: now,
        };
        let before = self.askers.insert(asker.clone(), state);
        let known = before.map_or(0, |before| before.number);
        let heard = self.heard.iter();
        let news = heard.filter(|(_, heard)| heard.number > known && heard.source != *asker);
        news.map(|(backend, heard)| BackendPace {
            backend: backend.as_str().to_owned(),
            hundredths: heard.pace.hundredths(),
        })
        .collect()
    }

    fn forget_old(&mut self, now: Instant) {
        let age = |at: Instant| now.saturating_duration_since(at);
        self.heard.retain(|_, heard| age(heard.at) < LIFETIME);
        self.askers
            .retain(|_, asker| age(asker.at) < ASKER_LIFETIME);
    }
}

/// Paces as they travel.
pub fn as_paces(named: Vec<PaceReport>) -> Vec<BackendPace> {
    let paces = named.into_iter().map(|one| BackendPace {
        backend: one.backend.as_str().to_owned(),
        hundredths: one.pace.hundredths(),
    });
    paces.collect()
}

/// Paces as they arrived; those that say nothing are left out.
pub fn as_named(paces: Vec<BackendPace>) -> Vec<PaceReport> {
    let named = paces.into_iter().filter_map(|one| {
        Some(PaceReport {
            backend: BackendName::from(one.backend),
            pace: Pace::from_hundredths(one.hundredths)?,
        })
    });
    named.collect()
}
