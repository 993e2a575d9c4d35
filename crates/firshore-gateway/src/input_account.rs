//! The account of a node's callers, their connections and memory: tells connections that they are evicted.

use crate::input_budget::{Denial, Growth, HolderId, InputBudget, InputLimits, Opened};
use firshore_types::error::{ApiError, ErrorCode};
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Instant;
use tokio::sync::Notify;

/// Seconds after which a caller whose request found no memory should retry. Stalled requests are evicted within it.
const RETRY_SECONDS: u32 = 1;

/// Memory of callers' input on one node.
pub struct InputAccount {
    budget: RefCell<InputBudget>,
    evictions: RefCell<HashMap<HolderId, Rc<Notify>>>,
    /// Notified when a request lets go of memory.
    released: Notify,
}

/// Entry of one connection, removed when it is dropped.
pub struct InputLease {
    account: Rc<InputAccount>,
    id: HolderId,
    evicted: Rc<Notify>,
}

impl InputAccount {
    /// Creates an empty account.
    pub fn new(limits: InputLimits) -> Rc<Self> {
        Rc::new(Self {
            budget: InputBudget::new(limits).into(),
            evictions: RefCell::default(),
            released: Notify::new(),
        })
    }

    /// Returns the maximum bytes that a single request may hold.
    pub fn max_request_bytes(&self) -> usize {
        self.budget.borrow().max_request_bytes()
    }

    /// Returns the bytes that are held.
    pub fn held(&self) -> usize {
        self.budget.borrow().held()
    }

    /// Returns the number of connections.
    pub fn connections(&self) -> usize {
        self.budget.borrow().connections()
    }

    /// Lets evicted connections close, if there are any.
    pub async fn settle(&self) {
        if self.budget.borrow().is_evicting() {
            actix_rt::task::yield_now().await;
        }
    }

    /// Adds a connection; `None` if there are too many, and none that may be closed for it.
    pub fn open(self: &Rc<Self>) -> Option<InputLease> {
        let opened = self.budget.borrow_mut().open(Instant::now());
        let Opened { id, evicted } = opened?;
        self.notify(evicted);
        let evicted = Rc::<Notify>::default();
        self.evictions.borrow_mut().insert(id, evicted.clone());
        Some(InputLease {
            account: self.clone(),
            id,
            evicted,
        })
    }

    fn notify(&self, evicted: Vec<HolderId>) {
        let evictions = self.evictions.borrow();
        for id in evicted {
            evictions[&id].notify_one();
        }
    }

    fn resize(&self, id: HolderId, bytes: usize) -> Growth {
        let growth = self.budget.borrow_mut().resize(Instant::now(), id, bytes);
        if let Growth::AfterEviction(evicted) = &growth {
            self.notify(evicted.clone());
        }
        growth
    }
}

impl InputLease {
    /// Records that the previous request has ended and holds nothing.
    pub fn become_idle(&self) {
        let mut budget = self.account.budget.borrow_mut();
        budget.become_idle(Instant::now(), self.id);
        self.account.released.notify_waiters();
    }

    /// Records that the first byte of a request has arrived.
    pub fn begin_reading(&self) {
        let mut budget = self.account.budget.borrow_mut();
        budget.begin_reading(Instant::now(), self.id);
    }

    /// Records that the request is complete.
    pub fn begin_serving(&self) {
        let mut budget = self.account.budget.borrow_mut();
        budget.begin_serving(Instant::now(), self.id);
    }

    /// Sets what the request holds, in bytes. Waits for evicted requests to let go of theirs.
    ///
    /// # Errors
    ///
    /// Fails if the memory can't be granted; the request keeps what it held.
    pub async fn resize(&self, bytes: usize) -> Result<(), Denial> {
        loop {
            let released = self.account.released.notified();
            match self.account.resize(self.id, bytes) {
                Growth::Granted => return Ok(()),
                Growth::Denied(denial) => return Err(denial),
                Growth::AfterEviction(_) => released.await,
            }
        }
    }

    /// Sets what the request holds, in bytes, if that is possible at once. Returns whether it is.
    pub fn try_resize(&self, bytes: usize) -> bool {
        self.account.resize(self.id, bytes) == Growth::Granted
    }

    /// Returns the maximum bytes that a single request may hold.
    pub fn max_request_bytes(&self) -> usize {
        self.account.max_request_bytes()
    }

    /// Resolves when the connection, or its request, is evicted.
    pub async fn evicted(&self) {
        self.evicted.notified().await;
    }
}

impl Drop for InputLease {
    fn drop(&mut self) {
        self.account.budget.borrow_mut().close(self.id);
        self.account.evictions.borrow_mut().remove(&self.id);
        self.account.released.notify_waiters();
    }
}

/// Returns the error for a caller whose connection is one too many.
pub fn too_many_connections() -> ApiError {
    let message = "The node has no connection left for the caller.";
    ApiError::not_run(ErrorCode::MemoryFull, message).retry_after(RETRY_SECONDS)
}

impl Denial {
    /// Returns the error for the caller: the request has not run.
    pub fn api_error(self) -> ApiError {
        match self {
            Self::TooLarge => {
                let message = "The request needs more memory than the node has for one.";
                ApiError::not_run(ErrorCode::TooLarge, message)
            }
            Self::Full | Self::Evicted => {
                let message = "The node has no memory left for the request.";
                ApiError::not_run(ErrorCode::MemoryFull, message).retry_after(RETRY_SECONDS)
            }
        }
    }
}
