//! Nodes that operators are draining, and the progress of that.

use super::group_manager::LeavingNodes;
use crate::list_watch::ObjectUpdate;
use crate::listing::list_all;
use crate::refusals::RefusalLog;
use firshore_adapter::Adapter;
use firshore_adapter::decode::{Retirement, RetirementProgress};
use firshore_adapter::objects::{Change, Object, ObjectError, Revision};
use firshore_types::ids::NodeName;
use slog::{Logger, info, warn};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Debug)]
struct RetirementRequest {
    revision: Revision,
    retirement: Retirement,
    /// Progress that this node reported last.
    written: Option<RetirementProgress>,
    /// Whether this node sent that the node is drained. An unconfirmed report may take effect
    /// seconds later; the machine is then removed, so its disk must not be added meanwhile.
    sent_done: bool,
    /// Whether the current object can be decoded; otherwise no progress is reported.
    readable: bool,
}

/// Requests to drain nodes, as the store lists them.
#[derive(Debug, Default)]
pub struct Retirements {
    requests: RefCell<BTreeMap<NodeName, RetirementRequest>>,
    refusals: RefCell<RefusalLog>,
    /// Whether they were listed since this node watches them.
    listed: Cell<bool>,
}

impl Retirements {
    /// Lists the requests once. Returns whether they are known now.
    pub async fn list(&self, adapter: &Adapter, log: &Logger) -> bool {
        let kind = adapter.decoder.retirement_kind();
        match list_all(adapter.objects.as_ref(), kind).await {
            Ok(objects) => {
                self.apply(adapter, log, ObjectUpdate::All(objects));
                true
            }
            Err(error) => {
                warn!(log, "retirement: Listing failed."; "reason" => %error);
                false
            }
        }
    }

    /// Applies an observation of the store.
    pub fn apply(&self, adapter: &Adapter, log: &Logger, observed: ObjectUpdate) {
        match observed {
            ObjectUpdate::All(objects) => {
                self.listed.set(true);
                let listed: BTreeSet<&str> = objects.iter().map(|one| one.name.as_str()).collect();
                let mut requests = self.requests.borrow_mut();
                requests.retain(|node, _| listed.contains(node.as_str()));
                for request in requests.values_mut() {
                    request.written = None;
                }
                drop(requests);
                for object in &objects {
                    self.apply_object(adapter, log, object);
                }
            }
            ObjectUpdate::Changed(changes) => {
                for change in changes {
                    match change {
                        Change::Written(object) => self.apply_object(adapter, log, &object),
                        Change::Removed(name) => {
                            self.requests.borrow_mut().remove(&NodeName(name));
                        }
                    }
                }
            }
        }
    }

    fn apply_object(&self, adapter: &Adapter, log: &Logger, object: &Object) {
        match adapter.decoder.retirement(object) {
            Ok(retirement) => {
                info!(log, "retirement: Listed."; "node" => &retirement.node,
                    "done" => retirement.done, "revision" => object.revision);
                let node = NodeName(retirement.node.clone());
                let mut requests = self.requests.borrow_mut();
                let known = requests.get(&node);
                let written = known.and_then(|request| request.written);
                let sent_done = known.is_some_and(|request| request.sent_done);
                let request = RetirementRequest {
                    revision: object.revision,
                    retirement,
                    written,
                    sent_done,
                    readable: true,
                };
                requests.insert(node, request);
            }
            // The node stays marked for draining, so that no replica is added to it meanwhile.
            Err(error) => {
                if let Some(request) = self
                    .requests
                    .borrow_mut()
                    .get_mut(&NodeName(object.name.clone()))
                {
                    request.readable = false;
                }
                let mut refusals = self.refusals.borrow_mut();
                let admitted =
                    refusals.should_log(firshore_clock::now(), &object.name, object.revision);
                if let Some(suppressed) = admitted {
                    warn!(log, "retirement: Object unreadable."; "revision" => object.revision,
                        "reason" => %error, "untold" => suppressed);
                }
            }
        }
    }

    /// Marks the requests as no longer watched: later ones are not known.
    pub fn stop_watching(&self) {
        self.listed.set(false);
    }

    /// Returns the nodes to drain, including drained ones; `None` while they are not watched.
    pub fn leaving(&self) -> Option<LeavingNodes> {
        if !self.listed.get() {
            return None;
        }
        let mut leaving = LeavingNodes::default();
        for (node, request) in self.requests.borrow().iter() {
            match request.retirement.done || request.sent_done {
                true => leaving.done.insert(node.clone()),
                false => leaving.open.insert(node.clone()),
            };
        }
        Some(leaving)
    }

    /// Returns whether any node is not yet reported as drained.
    pub fn has_unreported(&self) -> bool {
        let requests = self.requests.borrow();
        requests.values().any(|request| !request.retirement.done)
    }

    /// Reports the progress of draining in the store. Called by the leader only. A node is drained
    /// once accepted jobs no longer need its disk.
    pub async fn report(
        &self,
        adapter: &Adapter,
        log: &Logger,
        is_drained: impl Fn(&NodeName) -> bool,
    ) {
        let requests = self.requests.borrow().clone();
        for (node, request) in requests
            .iter()
            .filter(|(_, request)| request.readable && !request.retirement.done)
        {
            let progress = match is_drained(node) {
                true => RetirementProgress::Done,
                false => RetirementProgress::Running,
            };
            if request.written == Some(progress) {
                continue;
            }
            if progress == RetirementProgress::Done {
                self.record_done_sent(node, true);
            }
            let status = adapter.decoder.retirement_status(progress);
            let kind = adapter.decoder.retirement_kind();
            let written = adapter
                .objects
                .replace_status(kind, node.as_str(), request.revision, status)
                .await;
            info!(log, "retirement: Reported."; "node" => %node, "progress" => ?progress,
                "written" => written.is_ok());
            match written {
                Ok(()) => {
                    if let Some(request) = self.requests.borrow_mut().get_mut(node) {
                        request.written = Some(progress);
                    }
                }
                Err(ObjectError::Unanswered(_)) => {}
                Err(_) => self.record_done_sent(node, false),
            }
        }
    }

    fn record_done_sent(&self, node: &NodeName, done: bool) {
        if let Some(request) = self.requests.borrow_mut().get_mut(node) {
            request.sent_done = done;
        }
    }
}
