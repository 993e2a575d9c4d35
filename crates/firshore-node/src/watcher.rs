//! Executes the queries of an [`ListWatch`] at an object store until the node stops.

use crate::list_watch::{ListWatch, ListingRefusal, ObjectUpdate, StoreQuery, WatchOptions};
use crate::refusals::RefusalLog;
use firshore_adapter::objects::{ObjectError, ObjectStore, Revision};
use rand::RngExt;
use slog::{Logger, info, warn};
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Parameters of a watch on one kind of objects.
pub struct Watcher {
    /// Log.
    pub log: Logger,
    /// Store that is queried.
    pub store: Rc<dyn ObjectStore>,
    /// Kind of the objects.
    pub kind: String,
    /// Options of the watch.
    pub options: WatchOptions,
    /// Interrupts a waiting watch; the next query is sent at once.
    pub renewal: Rc<Notify>,
}

/// Watches all objects of a kind and calls `apply` with each update.
pub async fn follow(watcher: Watcher, apply: impl Fn(ObjectUpdate)) {
    let step = |update: Option<ObjectUpdate>, _: &ListWatch, _: Instant| {
        if let Some(update) = update {
            apply(update);
        }
    };
    observe(watcher, step).await;
}

/// Watches all objects of a kind. After each response calls `step` with the update, if any, the state of the
/// watch, and the time as of which the state is known: for a listing the time at which its first page was
/// requested, for a watch the time at which its response arrived.
pub async fn observe(watcher: Watcher, step: impl Fn(Option<ObjectUpdate>, &ListWatch, Instant)) {
    let Watcher {
        log,
        store,
        kind,
        options,
        renewal,
    } = watcher;
    let mut list_watch = ListWatch::new(options);
    let mut refusals = RefusalLog::default();
    let mut as_of = firshore_clock::now();
    loop {
        let delay = list_watch.delay();
        if !delay.is_zero() {
            // Jitter: nodes that lost the store at the same time must not query it at the same time.
            let jittered = delay.mul_f64(rand::rng().random_range(0.5..1.0));
            actix_rt::time::sleep(jittered).await;
        }
        let connected = list_watch.is_connected();
        let update = match list_watch.next_query() {
            StoreQuery::List(after) => {
                if after.is_none() {
                    as_of = firshore_clock::now();
                }
                let page = store.list(&kind, after.as_deref()).await;
                log_error(&log, &kind, connected, page.as_ref().err());
                let revision = page.as_ref().map_or(0, |page| page.revision);
                let update = list_watch.handle_page(page);
                log_refusal(&log, &kind, list_watch.refusal());
                log_unnamed(&log, &kind, &mut refusals, &list_watch, revision);
                update
            }
            StoreQuery::Watch(revision) => {
                let watching = store.watch(&kind, revision, list_watch.watch_timeout());
                let changes = tokio::select! {
                    changes = watching => changes,
                    () = renewal.notified() => {
                        list_watch.renew();
                        continue;
                    }
                };
                log_error(&log, &kind, connected, changes.as_ref().err());
                as_of = firshore_clock::now();
                let revision = changes.as_ref().map_or(0, |changes| changes.revision);
                let update = list_watch.handle_changes(changes);
                log_unnamed(&log, &kind, &mut refusals, &list_watch, revision);
                update
            }
        };
        if !connected && list_watch.is_connected() {
            info!(log, "objects: Store responds again."; "kind" => &kind,
                "revision" => list_watch.revision());
        }
        step(update, &list_watch, as_of);
    }
}

fn log_error(log: &Logger, kind: &str, connected: bool, error: Option<&ObjectError>) {
    match error {
        Some(ObjectError::HistoryGone) => {
            info!(log, "objects: Watch history expired; listing again."; "kind" => kind);
        }
        Some(error) if connected => {
            warn!(log, "objects: Store does not answer."; "kind" => kind, "reason" => %error);
        }
        _ => {}
    }
}

fn log_refusal(log: &Logger, kind: &str, refusal: Option<ListingRefusal>) {
    let reason = match refusal {
        None => return,
        Some(ListingRefusal::Older) => "revision is older than one already seen",
        Some(ListingRefusal::NoCursor) => "more pages follow, but no name to continue after",
    };
    warn!(log, "objects: Listing refused."; "kind" => kind, "reason" => reason);
}

fn log_unnamed(
    log: &Logger,
    kind: &str,
    refusals: &mut RefusalLog,
    list_watch: &ListWatch,
    revision: Revision,
) {
    let count = list_watch.unnamed();
    if count == 0 {
        return;
    }
    if let Some(suppressed) = refusals.should_log(firshore_clock::now(), "", revision) {
        warn!(log, "objects: Entries skipped."; "kind" => kind, "count" => count,
            "revision" => revision, "reason" => "name cannot be read", "untold" => suppressed);
    }
}
