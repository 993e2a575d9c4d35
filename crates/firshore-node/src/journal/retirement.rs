//! Nodes that operators want emptied, and how far that is.

use super::group_manager::LeavingNodes;
use crate::list_watch::ObjectUpdate;
use crate::refusals::RefusalLog;
use firshore_adapter::Adapter;
use firshore_adapter::decode::{Retirement, RetirementProgress};
use firshore_adapter::objects::{Change, Object, ObjectError, Revision};
use firshore_types::ids::NodeName;
use slog::{Logger, info, warn};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Debug)]
struct Wish {
    revision: Revision,
    retirement: Retirement,
    /// Progress that was written last by this node.
    written: Option<RetirementProgress>,
    /// Whether this node sent that it is done: without an answer that may take effect seconds later, and the
    /// machine goes then, so its disk must not be taken in meanwhile.
    sent_done: bool,
    /// Whether the wish can be read as it stands there now: nothing is reported where it cannot.
    readable: bool,
}

/// Wishes to empty nodes, as the store lists them.
#[derive(Debug, Default)]
pub struct Retirements {
    wishes: RefCell<BTreeMap<NodeName, Wish>>,
    refusals: RefCell<RefusalLog>,
    /// Whether they were listed since this node follows them.
    listed: Cell<bool>,
}

impl Retirements {
    /// Takes in what was observed.
    pub fn apply(&self, adapter: &Adapter, log: &Logger, learned: ObjectUpdate) {
        match learned {
            ObjectUpdate::All(objects) => {
                self.listed.set(true);
                let listed: BTreeSet<&str> = objects.iter().map(|one| one.name.as_str()).collect();
                let mut wishes = self.wishes.borrow_mut();
                wishes.retain(|node, _| listed.contains(node.as_str()));
                for wish in wishes.values_mut() {
                    wish.written = None;
                }
                drop(wishes);
                for object in &objects {
                    self.take(adapter, log, object);
                }
            }
            ObjectUpdate::Changed(changes) => {
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
                let known = wishes.get(&node);
                let written = known.and_then(|wish| wish.written);
                let sent_done = known.is_some_and(|wish| wish.sent_done);
                let wish = Wish {
                    revision: object.revision,
                    retirement,
                    written,
                    sent_done,
                    readable: true,
                };
                wishes.insert(node, wish);
            }
            // A node that was to be emptied stays so: it must not be filled again meanwhile.
            Err(error) => {
                if let Some(wish) = self
                    .wishes
                    .borrow_mut()
                    .get_mut(&NodeName(object.name.clone()))
                {
                    wish.readable = false;
                }
                let mut refusals = self.refusals.borrow_mut();
                let admitted = refusals.admit(firshore_clock::now(), &object.name, object.revision);
                if let Some(untold) = admitted {
                    warn!(log, "retirement: Unreadable."; "revision" => object.revision,
                        "reason" => %error, "untold" => untold);
                }
            }
        }
    }

    /// Takes in that they are not followed any more: what is known says nothing of later wishes.
    pub fn unfollow(&self) {
        self.listed.set(false);
    }

    /// Returns the nodes that are to be emptied, those that are empty included; `None` while they are not
    /// followed.
    pub fn leaving(&self) -> Option<LeavingNodes> {
        if !self.listed.get() {
            return None;
        }
        let mut leaving = LeavingNodes::default();
        for (node, wish) in self.wishes.borrow().iter() {
            match wish.retirement.done || wish.sent_done {
                true => leaving.done.insert(node.clone()),
                false => leaving.open.insert(node.clone()),
            };
        }
        Some(leaving)
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
        is_drained: impl Fn(&NodeName) -> bool,
    ) {
        let wishes = self.wishes.borrow().clone();
        for (node, wish) in wishes
            .iter()
            .filter(|(_, wish)| wish.readable && !wish.retirement.done)
        {
            let progress = match is_drained(node) {
                true => RetirementProgress::Done,
                false => RetirementProgress::Running,
            };
            if wish.written == Some(progress) {
                continue;
            }
            if progress == RetirementProgress::Done {
                self.note_sent(node, true);
            }
            let status = adapter.decoder.retirement_status(progress);
            let kind = adapter.decoder.retirement_kind();
            let written = adapter
                .objects
                .replace_status(kind, node.as_str(), wish.revision, status)
                .await;
            info!(log, "retirement: Reported."; "node" => %node, "progress" => ?progress,
                "written" => written.is_ok());
            match written {
                Ok(()) => {
                    if let Some(wish) = self.wishes.borrow_mut().get_mut(node) {
                        wish.written = Some(progress);
                    }
                }
                Err(ObjectError::Unanswered(_)) => {}
                Err(_) => self.note_sent(node, false),
            }
        }
    }

    fn note_sent(&self, node: &NodeName, done: bool) {
        if let Some(wish) = self.wishes.borrow_mut().get_mut(node) {
            wish.sent_done = done;
        }
    }
}
