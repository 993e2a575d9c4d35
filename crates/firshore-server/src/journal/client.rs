//! Asks the leader of a group, wherever it is: follows hints, tries other nodes, and gives up after
//! a deadline. Every journal command may be proposed again, so a lost answer is asked for again.

use crate::peers::PeerError;
use crate::shared::Shared;
use firshore_membership::member::Member;
use firshore_protocol::message::{JournalRefusal, JournalRequest, Request, Response};
use firshore_replication::types::GroupId;
use firshore_types::error::{ApiError, ErrorCode};
use firshore_types::ids::NodeName;
use parking_lot::Mutex;
use rand::RngExt;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Longest time for one question, all tries together.
const DEADLINE: Duration = Duration::from_secs(12);

/// Longest wait for one node's answer.
const TRY_TIMEOUT: Duration = Duration::from_secs(4);

/// Pause after every node with a disk was asked in vain.
const ROUND_PAUSE: Duration = Duration::from_millis(100);

/// Which node answered last for each group; held alone.
#[derive(Debug, Default)]
pub struct Leaders {
    nodes: Mutex<BTreeMap<GroupId, NodeName>>,
}

impl Leaders {
    fn get(&self, group: GroupId) -> Option<NodeName> {
        self.nodes.lock().get(&group).cloned()
    }

    fn set(&self, group: GroupId, node: NodeName) {
        self.nodes.lock().insert(group, node);
    }

    fn forget(&self, group: GroupId) {
        self.nodes.lock().remove(&group);
    }
}

enum Tried {
    Answered(Response),
    Elsewhere(Option<NodeName>),
    Full,
    NotSent,
    Unknown,
}

/// Asks the leader of `group`.
pub async fn ask(
    shared: &Shared,
    group: GroupId,
    request: JournalRequest,
) -> Result<Response, ApiError> {
    let deadline = Instant::now() + DEADLINE;
    let changes = matches!(request, JournalRequest::Propose(_));
    let mut unknown = false;
    let mut hint = shared.journal_leaders.get(group);
    let mut waiting: Vec<Member> = Vec::new();
    loop {
        if Instant::now() >= deadline {
            return Err(unavailable(changes && unknown));
        }
        let target = match next(shared, hint.take(), &mut waiting) {
            Some(target) => target,
            None => {
                actix_rt::time::sleep(ROUND_PAUSE).await;
                waiting = holders(shared);
                continue;
            }
        };
        match try_one(shared, &target, group, request.clone()).await {
            Tried::Answered(response) => {
                shared.journal_leaders.set(group, target.name);
                return Ok(response);
            }
            Tried::Full => return Err(full(unknown)),
            Tried::Elsewhere(leader) => hint = leader.filter(|leader| *leader != target.name),
            Tried::NotSent => shared.journal_leaders.forget(group),
            Tried::Unknown => {
                unknown = true;
                shared.journal_leaders.forget(group);
            }
        }
    }
}

fn holders(shared: &Shared) -> Vec<Member> {
    let members = shared.members.lock().alive(shared.clock.now());
    let mut holders: Vec<Member> = members.into_iter().filter(|one| one.has_disk).collect();
    if !holders.is_empty() {
        let first = rand::rng().random_range(0..holders.len());
        holders.rotate_left(first);
    }
    holders
}

fn next(shared: &Shared, hint: Option<NodeName>, waiting: &mut Vec<Member>) -> Option<Member> {
    if let Some(name) = hint {
        let hinted = holders(shared).into_iter().find(|one| one.name == name);
        if hinted.is_some() {
            return hinted;
        }
    }
    waiting.pop()
}

async fn try_one(
    shared: &Shared,
    target: &Member,
    group: GroupId,
    request: JournalRequest,
) -> Tried {
    let own = target.name == shared.settings.name;
    let answer = match shared.journal.as_ref().filter(|_| own) {
        Some(journal) => tokio::time::timeout(TRY_TIMEOUT, journal.answer(group, request))
            .await
            .map_err(|_| PeerError::Unanswered),
        None => {
            let request = Request::Journal { group, request };
            let call = shared.peers.call(target.peer_address, request);
            tokio::time::timeout(TRY_TIMEOUT, call)
                .await
                .unwrap_or(Err(PeerError::Unanswered))
        }
    };
    match answer {
        Ok(Response::Refused(JournalRefusal::NotLeader { leader })) => Tried::Elsewhere(leader),
        Ok(Response::Refused(JournalRefusal::StorageFull)) => Tried::Full,
        Ok(Response::Refused(JournalRefusal::Unsettled)) | Err(PeerError::Unanswered) => {
            Tried::Unknown
        }
        Ok(response) => Tried::Answered(response),
        Err(PeerError::NotSent) => Tried::NotSent,
    }
}

fn error(code: ErrorCode, message: &str, unknown: bool) -> ApiError {
    let error = if unknown {
        ApiError::maybe_run(code, message)
    } else {
        ApiError::not_run(code, message)
    };
    error.retry_after(1)
}

fn unavailable(unknown: bool) -> ApiError {
    let message = "No leader of the journal answered in time.";
    error(ErrorCode::JournalUnavailable, message, unknown)
}

fn full(unknown: bool) -> ApiError {
    let message = "The journal's disk has no space left for new work.";
    error(ErrorCode::StorageFull, message, unknown)
}

/// An answer of another kind than asked for.
pub fn unexpected() -> ApiError {
    ApiError::maybe_run(
        ErrorCode::Internal,
        "A peer answered with another kind of message.",
    )
}
