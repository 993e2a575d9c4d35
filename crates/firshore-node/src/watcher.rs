//! Asks the store what an [`ListWatch`] wants to know, for as long as the node lives.

use crate::list_watch::{ListWatch, ListingRefusal, ObjectUpdate, StoreQuery, WatchOptions};
use crate::refusals::RefusalLog;
use firshore_adapter::objects::{ObjectError, ObjectStore, Revision};
use rand::RngExt;
use slog::{Logger, info, warn};
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Who asks for a kind, and how.
pub struct Watcher {
    /// Log.
    pub log: Logger,
    /// Whom it asks.
    pub store: Rc<dyn ObjectStore>,
    /// Kind of the objects.
    pub kind: String,
    /// On which terms.
    pub options: WatchOptions,
    /// Wakes a watch that waits, to ask anew at once.
    pub renewal: Rc<Notify>,
}

/// Follows all objects of a kind and hands on what is learned.
pub async fn follow(watcher: Watcher, learn: impl Fn(ObjectUpdate)) {
    let step = |learned: Option<ObjectUpdate>, _: &ListWatch, _: Instant| {
        if let Some(learned) = learned {
            learn(learned);
        }
    };
    observe(watcher, step).await;
}

/// Follows all objects of a kind; tells after each answer what was learned, if anything, how the
/// observation stands, and as of when: a listing tells the store as its first page was asked for, an
/// answer to a watch as it arrives.
pub async fn observe(watcher: Watcher, step: impl Fn(Option<ObjectUpdate>, &ListWatch, Instant)) {
    let Watcher {
        log,
        store,
        kind,
        options,
        renewal,
    } = watcher;
    let mut observation = ListWatch::new(options);
    let mut refusals = RefusalLog::default();
    let mut as_of = firshore_clock::now();
    loop {
        let pause = observation.delay();
        if !pause.is_zero() {
            // Nodes that lost the store together must not return together.
            let spread = pause.mul_f64(rand::rng().random_range(0.5..1.0));
            actix_rt::time::sleep(spread).await;
        }
        let connected = observation.is_connected();
        let learned = match observation.next_query() {
            StoreQuery::List(after) => {
                if after.is_none() {
                    as_of = firshore_clock::now();
                }
                let page = store.list(&kind, after.as_deref()).await;
                note(&log, &kind, connected, page.as_ref().err());
                let revision = page.as_ref().map_or(0, |page| page.revision);
                let learned = observation.handle_page(page);
                note_refusal(&log, &kind, observation.refusal());
                note_unnamed(&log, &kind, &mut refusals, &observation, revision);
                learned
            }
            StoreQuery::Watch(revision) => {
                let watching = store.watch(&kind, revision, observation.watch_timeout());
                let changes = tokio::select! {
                    changes = watching => changes,
                    () = renewal.notified() => {
                        observation.renew();
                        continue;
                    }
                };
                note(&log, &kind, connected, changes.as_ref().err());
                as_of = firshore_clock::now();
                let revision = changes.as_ref().map_or(0, |changes| changes.revision);
                let learned = observation.handle_changes(changes);
                note_unnamed(&log, &kind, &mut refusals, &observation, revision);
                learned
            }
        };
        if !connected && observation.is_connected() {
            info!(log, "objects: Store answers again."; "kind" => &kind,
                "revision" => observation.revision());
        }
        step(learned, &observation, as_of);
    }
}

fn note(log: &Logger, kind: &str, connected: bool, error: Option<&ObjectError>) {
    match error {
        Some(ObjectError::HistoryGone) => {
            info!(log, "objects: History gone; listing anew."; "kind" => kind);
        }
        Some(error) if connected => {
            warn!(log, "objects: Store does not answer."; "kind" => kind, "reason" => %error);
        }
        _ => {}
    }
}

fn note_refusal(log: &Logger, kind: &str, refusal: Option<ListingRefusal>) {
    let reason = match refusal {
        None => return,
        Some(ListingRefusal::Older) => "an older revision than was known",
        Some(ListingRefusal::NoCursor) => "more follow, and no name to ask for them after",
    };
    warn!(log, "objects: Listing refused."; "kind" => kind, "reason" => reason);
}

fn note_unnamed(
    log: &Logger,
    kind: &str,
    refusals: &mut RefusalLog,
    observation: &ListWatch,
    revision: Revision,
) {
    let count = observation.unnamed();
    if count == 0 {
        return;
    }
    if let Some(untold) = refusals.admit(firshore_clock::now(), "", revision) {
        warn!(log, "objects: Entries passed over."; "kind" => kind, "count" => count,
            "revision" => revision, "reason" => "no name that can be read", "untold" => untold);
    }
}
