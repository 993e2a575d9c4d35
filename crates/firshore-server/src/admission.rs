//! Who may be sent to a back end now: limits of the tenant, then the queue while all are full.

use crate::gateway::deadline::Deadline;
use crate::limits;
use crate::routing::Target;
use crate::shared::{ConfigurationView, Shared};
use firshore_routing::eligibility::SelectorKey;
use firshore_routing::queue::{AdmissionQueue, EnqueueResult, QueueTicket};
use firshore_types::declaration::{Metadata, Priority, TenantSpec};
use firshore_types::error::{ApiError, ErrorCode, Execution};
use firshore_types::labels::Selector;
use firshore_types::policy;
use parking_lot::Mutex;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Most requests that wait for one set of back ends at a node.
const QUEUE_LENGTH: usize = 256;

/// Longest wait, in milliseconds, whatever the deadline.
const LONGEST_WAIT_MILLISECONDS: u64 = 10_000;

/// Time between two looks for room while requests wait.
const LOOK_INTERVAL: Duration = Duration::from_millis(5);

/// Most requests let go at one look. The loads seen then take the next look to count them.
const DEPARTURES_PER_LOOK: usize = 4;

enum Turn {
    Go,
    Shed,
}

struct Waiting {
    selectors: Vec<Selector>,
    queue: AdmissionQueue<oneshot::Sender<Turn>>,
}

/// The queues of a node, one for each set of back ends. Nothing else is locked meanwhile, but for
/// the router's lock after this one.
#[derive(Default)]
pub struct Admission {
    queues: Mutex<HashMap<SelectorKey, Waiting>>,
}

/// Takes the request out of its queue when its caller is no longer there.
struct Place<'a> {
    admission: &'a Admission,
    key: SelectorKey,
    ticket: QueueTicket,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        let mut queues = self.admission.queues.lock();
        if let Some(waiting) = queues.get_mut(&self.key) {
            waiting.queue.remove(self.ticket);
        }
    }
}

/// An admitted request.
pub struct Admitted {
    /// Back ends narrowed by policy, holding the request's place under the tenant's limits.
    pub target: Target,
    /// Priority by policy.
    pub priority: Priority,
}

/// Applies the policies in force to a request of `tenant` for `service` and waits, in order of
/// priority, while every back end is full.
pub async fn admit(
    shared: &Arc<Shared>,
    view: &ConfigurationView,
    tenant: (&Metadata, &TenantSpec),
    service: &Metadata,
    target: Target,
    deadline: Deadline,
) -> Result<Admitted, ApiError> {
    let effective = policy::effective(&view.configuration, tenant, service, None);
    let counted = limits::admit(shared, &tenant.0.name, &effective.limits)?;
    let mut target = target;
    if effective.backends != Selector::default() {
        target = target.restricted_to(&effective.backends);
    }
    if let Some(counted) = counted {
        target = target.admitted(counted);
    }
    wait(shared, &target, effective.priority, deadline).await?;
    Ok(Admitted {
        target,
        priority: effective.priority,
    })
}

fn has_room(shared: &Shared, selectors: &[&Selector]) -> bool {
    let now = shared.clock.now();
    let mut router = shared.router.lock();
    router.has_capacity(now, selectors, &mut rand::rng())
}

async fn wait(
    shared: &Shared,
    target: &Target,
    priority: Priority,
    deadline: Deadline,
) -> Result<(), ApiError> {
    let selectors = target.selectors();
    let key = SelectorKey::of(&selectors);
    let (ticket, turn) = {
        let mut queues = shared.admission.queues.lock();
        let empty = queues
            .get(&key)
            .is_none_or(|waiting| waiting.queue.is_empty());
        if empty && has_room(shared, &selectors) {
            return Ok(());
        }
        let waiting = queues.entry(key).or_insert_with(|| Waiting {
            selectors: selectors.into_iter().cloned().collect(),
            queue: AdmissionQueue::new(QUEUE_LENGTH),
        });
        let longest = (deadline.remaining().as_millis() as u64).min(LONGEST_WAIT_MILLISECONDS);
        let (sender, turn) = oneshot::channel();
        let until = shared.clock.now() + longest;
        match waiting.queue.enqueue(priority, until, sender) {
            EnqueueResult::Queued(ticket) => (ticket, turn),
            EnqueueResult::QueuedInPlaceOf(ticket, shed) => {
                let _ = shed.send(Turn::Shed);
                (ticket, turn)
            }
            EnqueueResult::Refused(_) => return Err(overloaded(&waiting.queue)),
        }
    };
    let admission = &shared.admission;
    let _place = Place {
        admission,
        key,
        ticket,
    };
    match deadline.bound(turn).await {
        Some(Ok(Turn::Go)) => Ok(()),
        // Shed for a request of a higher priority, or waited as long as it may.
        Some(_) => {
            let queues = shared.admission.queues.lock();
            let waiting = queues.get(&key);
            Err(waiting.map_or_else(full, |waiting| overloaded(&waiting.queue)))
        }
        None => Err(Deadline::exceeded(Execution::None)),
    }
}

fn full() -> ApiError {
    let message = "Every eligible back end and the queue are full.";
    ApiError::not_run(ErrorCode::Overloaded, message).retry_after(1)
}

fn overloaded<T>(queue: &AdmissionQueue<T>) -> ApiError {
    full().retry_after(queue.retry_after_seconds())
}

/// Lets waiting requests go until the node ends.
pub async fn run(shared: Arc<Shared>) {
    loop {
        actix_rt::time::sleep(LOOK_INTERVAL).await;
        let mut queues = shared.admission.queues.lock();
        for waiting in queues.values_mut() {
            let_go(&shared, waiting);
        }
        queues.retain(|_, waiting| !waiting.queue.is_empty());
    }
}

fn let_go(shared: &Shared, waiting: &mut Waiting) {
    let now = shared.clock.now();
    // Dropping a sender tells its request that it has waited too long.
    drop(waiting.queue.remove_expired(now));
    let selectors: Vec<&Selector> = waiting.selectors.iter().collect();
    for _ in 0..DEPARTURES_PER_LOOK {
        if waiting.queue.is_empty() || !has_room(shared, &selectors) {
            return;
        }
        if let Some(next) = waiting.queue.dequeue(now).next {
            let _ = next.send(Turn::Go);
        }
    }
}
