//! Nodes that operators want emptied, and how far that is.

use super::group_keeper::LeavingNodes;
use crate::observation::Learned;
use firshore_adapter::Adapter;
use firshore_adapter::decode::{Retirement, RetirementProgress};
use firshore_adapter::objects::{Change, Object, Revision};
use firshore_types::ids::NodeName;
use slog::{Logger, info, warn};
use std::cell::RefCell;
use std::collections::BTreeMap;

#[derive(Clone, Debug)]
struct Wish {
    revision: Revision,
    retirement: Retirement,
    /// Progress that was written last by this node.
    written: Option<RetirementProgress>,
}

/// Wishes to empty nodes, as the store lists them.
#[derive(Debug, Default)]
pub struct Retirements {
    wishes: RefCell<BTreeMap<NodeName, Wish>>,
}

impl Retirements {
    /// Takes in what was observed.
    pub fn learn(&self, adapter: &Adapter, log: &Logger, learned: Learned) {
        match learned {
            Learned::All(objects) => {
                self.wishes.borrow_mut().clear();
                for object in &objects {
                    self.take(adapter, log, object);
                }
            }
            Learned::Changed(changes) => {
                for change in changes {
                    match change {
                        Change::Written(object) => self.take(adapter, log, &object),
                        Change::Removed(name) => {
                            self.wishes.borrow_mut().remove(&NodeName(name));
                        }
                    }
                }
            }
        }
    }

    fn take(&self, adapter: &Adapter, log: &Logger, object: &Object) {
        match adapter.decoder.retirement(object) {
            Ok(retirement) => {
                info!(log, "retirement: Listed."; "node" => &retirement.node,
                    "done" => retirement.done, "revision" => object.revision);
                let node = NodeName(retirement.node.clone());
                let mut wishes = self.wishes.borrow_mut();
                let written = wishes.get(&node).and_then(|wish| wish.written);
                let wish = Wish {
                    revision: object.revision,
                    retirement,
                    written,
                };
                wishes.insert(node, wish);
            }
            Err(error) => warn!(log, "retirement: Unreadable."; "reason" => %error),
        }
    }

    /// Returns the nodes that are to be emptied, those that are empty included.
    pub fn leaving(&self) -> LeavingNodes {
        let mut leaving = LeavingNodes::default();
        for (node, wish) in self.wishes.borrow().iter() {
            let written = wish.written == Some(RetirementProgress::Done);
            match wish.retirement.done || written {
                true => leaving.done.insert(node.clone()),
                false => leaving.open.insert(node.clone()),
            };
        }
        leaving
    }

    /// Returns whether a node is to be emptied of which that is not reported yet.
    pub fn wants_report(&self) -> bool {
        let wishes = self.wishes.borrow();
        wishes.values().any(|wish| !wish.retirement.done)
    }

    /// Tells the operators how far the emptying is. Called by the leader only: it is done once nothing
    /// needs the node any more.
    pub async fn report(
        &self,
        adapter: &Adapter,
        log: &Logger,
        is_emptied: impl Fn(&NodeName) -> bool,
    ) {
        let wishes = self.wishes.borrow().clone();
        for (node, wish) in wishes.iter().filter(|(_, wish)| !wish.retirement.done) {
            let progress = match is_emptied(node) {
                true => RetirementProgress::Done,
                false => RetirementProgress::Running,
            };
            if wish.written == Some(progress) {
                continue;
            }
            let status = adapter.decoder.retirement_status(progress);
            let kind = adapter.decoder.retirement_kind();
            let written = adapter
                .objects
                .replace_status(kind, node.as_str(), wish.revision, status)
                .await;
            info!(log, "retirement: Reported."; "node" => %node, "progress" => ?progress,
                "written" => written.is_ok());
            if written.is_ok()
                && let Some(wish) = self.wishes.borrow_mut().get_mut(node)
            {
                wish.written = Some(progress);
            }
        }
    }
}
