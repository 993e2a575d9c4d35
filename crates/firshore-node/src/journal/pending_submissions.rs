//! Jobs whose commit is pending: further attempts to submit the same job share its outcome.
//!
//! Only within a term: a leader that was deposed and leads again may have lost the entry, and would
//! learn of that only when another entry takes its position in the log.

use firshore_jobs::command::Outcome;
use firshore_log::refusal::JournalRefusal;
use firshore_replication::types::Term;
use futures_util::FutureExt;
use futures_util::future::{LocalBoxFuture, Shared};
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

type CommitResult = Result<Outcome, JournalRefusal>;

/// A job's commit, awaited by any number of attempts.
pub(super) type SharedCommit = Shared<LocalBoxFuture<'static, CommitResult>>;

#[derive(Clone)]
struct PendingCommit {
    term: Term,
    commit: SharedCommit,
}

/// Pending commits by the job's key.
#[derive(Clone, Default)]
pub(super) struct PendingSubmissions {
    commits: Rc<RefCell<HashMap<String, PendingCommit>>>,
}

impl PendingSubmissions {
    /// Returns the pending commit of a job in this term.
    pub(super) fn pending(&self, term: Term, job: &str) -> Option<SharedCommit> {
        let commits = self.commits.borrow();
        let pending = commits.get(job).filter(|one| one.term == term);
        pending.map(|one| one.commit.clone())
    }

    /// Registers a commit of this term as pending until it has ended.
    pub(super) fn begin(
        &self,
        term: Term,
        job: String,
        commit: LocalBoxFuture<'static, CommitResult>,
    ) -> SharedCommit {
        let (commits, key) = (self.commits.clone(), job.clone());
        let tracked = async move {
            let committed = commit.await;
            let mut commits = commits.borrow_mut();
            if commits.get(&key).is_some_and(|one| one.term == term) {
                commits.remove(&key);
            }
            drop(commits);
            committed
        };
        let commit = tracked.boxed_local().shared();
        let pending = PendingCommit {
            term,
            commit: commit.clone(),
        };
        self.commits.borrow_mut().insert(job, pending);
        commit
    }
}
