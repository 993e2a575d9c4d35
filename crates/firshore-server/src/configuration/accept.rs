//! Accepts proposals. A change is committed by creating its object, and accepted once the journal
//! holds its revision as the floor.

use crate::configuration::advance;
use crate::journal;
use crate::platform::object_api::{ObjectApi, ObjectError};
use crate::shared::Shared;
use firshore_config::dissemination::Input;
use firshore_config::history::{HistoryDigest, Record, RecordError};
use firshore_config::proposal::{Decision, Proposal};
use firshore_config::{
    CHANGE_PREFIX, REVISIONS_PER_PAGE, SNAPSHOT_KEY, SNAPSHOT_REVISIONS, change_key, intent_key,
    page_prefix,
};
use firshore_types::configuration::{Change, Configuration};
use firshore_types::error::{ApiError, ErrorCode};
use firshore_types::ids::{ChangeId, Revision};
use serde::{Deserialize, Serialize};
use slog::{info, warn};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Longest time spent on one proposal.
const ACCEPT_TIMEOUT: Duration = Duration::from_secs(10);

/// Pause before the object API is asked again.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Longest change identifier, in bytes.
const MAXIMUM_CHANGE_ID_BYTES: usize = 128;

/// Most missing changes written back in one go after a restore.
const REPUBLISHED_AT_ONCE: usize = 512;

/// Most changes that a proposal is compared with; a day's changes and more.
const MAXIMUM_REBASE_REVISIONS: u64 = 20_000;

/// Written before the first attempt at a change: whoever sends the change again, however late,
/// looks for it after this revision.
#[derive(Debug, Serialize, Deserialize)]
struct Intent {
    base: Revision,
}

/// Why an attempt did not settle the proposal.
enum Attempt {
    /// Final.
    Refused(ApiError),
    /// Whether the change was written is not known, or another was; try again.
    Again(String),
}

impl From<ObjectError> for Attempt {
    fn from(error: ObjectError) -> Self {
        Self::Again(error.to_string())
    }
}

/// The part of the history that a proposal is decided on.
struct Ground {
    configuration: Arc<Configuration>,
    digest: HistoryDigest,
}

fn ground(shared: &Shared) -> Ground {
    let dissemination = shared.dissemination.lock();
    Ground {
        configuration: dissemination.configuration().clone(),
        digest: dissemination.history().head_digest(),
    }
}

fn unknown(change_id: &ChangeId, reason: &str) -> ApiError {
    let message = format!(
        "Whether change '{change_id}' was accepted is unknown: {reason} Send it again with the same change identifier."
    );
    ApiError::maybe_run(ErrorCode::Unavailable, message).retry_after(1)
}

fn invalid(message: impl Into<String>) -> ApiError {
    ApiError::not_run(ErrorCode::InvalidRequest, message)
}

fn check_change_id(id: &ChangeId) -> Result<(), ApiError> {
    let allowed = |character: char| character.is_ascii_alphanumeric() || "-_.".contains(character);
    let fits = (1..=MAXIMUM_CHANGE_ID_BYTES).contains(&id.0.len());
    if fits && id.0.chars().all(allowed) {
        return Ok(());
    }
    Err(invalid(format!(
        "'{id}' is no change identifier. Use up to {MAXIMUM_CHANGE_ID_BYTES} letters, digits, '-', '_' and '.'."
    )))
}

/// Accepts a proposal and returns the revision that it became.
///
/// Errors: not run where nothing was written; `Firshore-Execution: unknown` where the change may
/// have been written or is not yet protected by the floor. Sending it again with the same change
/// identifier settles that.
pub async fn accept(shared: &Arc<Shared>, proposal: &Proposal) -> Result<Revision, ApiError> {
    check_change_id(&proposal.change_id)?;
    let floor = journal::raise_floor(shared, Revision(0)).await?;
    advance(shared, Input::Floor(floor));
    let deadline = Instant::now() + ACCEPT_TIMEOUT;
    let objects = ObjectApi::new(&shared.settings.platform.object_api);
    let mut reason = String::new();
    while Instant::now() < deadline {
        match attempt(shared, &objects, proposal, floor).await {
            Ok(revision) => return protect(shared, &proposal.change_id, revision).await,
            Err(Attempt::Refused(error)) => return Err(error),
            Err(Attempt::Again(cause)) => reason = cause,
        }
        actix_rt::time::sleep(RETRY_PAUSE).await;
    }
    Err(unknown(&proposal.change_id, &reason))
}

/// Records the revision as the floor; only then is the change accepted.
async fn protect(
    shared: &Arc<Shared>,
    change_id: &ChangeId,
    revision: Revision,
) -> Result<Revision, ApiError> {
    let floor = journal::raise_floor(shared, revision)
        .await
        .map_err(|error| unknown(change_id, &error.message))?;
    advance(shared, Input::Floor(floor));
    info!(shared.log, "configuration: Change accepted.";
        "change" => %change_id, "revision" => %revision);
    Ok(revision)
}

/// Finds out whether a change was accepted, however long ago, and protects it if so. `None` means
/// that it was not written by now; sent again with the same identifier it is written at most once.
pub async fn settle(
    shared: &Arc<Shared>,
    change_id: &ChangeId,
) -> Result<Option<Revision>, ApiError> {
    check_change_id(change_id)?;
    let objects = ObjectApi::new(&shared.settings.platform.object_api);
    let found = find(shared, &objects, change_id).await;
    match found {
        Ok(Some(revision)) => Ok(Some(protect(shared, change_id, revision).await?)),
        Ok(None) => Ok(None),
        Err(Attempt::Refused(error)) => Err(error),
        Err(Attempt::Again(reason)) => Err(unknown(change_id, &reason)),
    }
}

async fn find(
    shared: &Arc<Shared>,
    objects: &ObjectApi,
    change_id: &ChangeId,
) -> Result<Option<Revision>, Attempt> {
    catch_up(shared, objects).await?;
    let Some(intent) = read_intent(objects, change_id).await? else {
        return Ok(None);
    };
    let found = find_after(shared, objects, change_id, intent.base).await?;
    Ok(found.map(|change| change.revision))
}

/// Looks for a change after `base`, a page at a time, however much has been changed since.
async fn find_after(
    shared: &Arc<Shared>,
    objects: &ObjectApi,
    change_id: &ChangeId,
    base: Revision,
) -> Result<Option<Change>, Attempt> {
    let head = ground_revision(shared);
    let mut from = base;
    while from < head {
        let to = Revision(head.0.min(from.0 + REVISIONS_PER_PAGE));
        let changes = changes_after(shared, objects, from, to).await?;
        let mut changes = changes.into_iter();
        if let Some(found) = changes.find(|change| change.change_id == *change_id) {
            return Ok(Some(found));
        }
        from = to;
    }
    Ok(None)
}

fn too_old(base: Revision, head: Revision) -> ApiError {
    let message = format!(
        "The proposal was made on revision {base}, but revision {head} is in force: too many changes lie between to compare it with."
    );
    ApiError::not_run(ErrorCode::Conflict, message)
}

async fn read_intent(objects: &ObjectApi, change_id: &ChangeId) -> Result<Option<Intent>, Attempt> {
    let found = objects.get(&intent_key(change_id)).await?;
    Ok(found.and_then(|object| serde_json::from_str(&object.value).ok()))
}

async fn attempt(
    shared: &Arc<Shared>,
    objects: &ObjectApi,
    proposal: &Proposal,
    floor: Revision,
) -> Result<Revision, Attempt> {
    catch_up(shared, objects).await?;
    let ground = ground(shared);
    let head = ground.configuration.revision;
    if head < floor || head < proposal.base {
        let message = format!("this node has revision {head} in force and is catching up.");
        return Err(Attempt::Again(message));
    }
    let first_base = declare_intent(objects, &proposal.change_id, head).await?;
    if let Some(earlier) = find_after(shared, objects, &proposal.change_id, first_base).await? {
        return match proposal.settle(&earlier) {
            Decision::AlreadyAccepted(revision) => Ok(revision),
            refused => Err(Attempt::Refused(refusal(&refused))),
        };
    }
    if head.0 - proposal.base.0 > MAXIMUM_REBASE_REVISIONS {
        return Err(Attempt::Refused(too_old(proposal.base, head)));
    }
    let since = changes_after(shared, objects, proposal.base, head).await?;
    let change = match proposal.decide(&ground.configuration, &since) {
        Decision::AlreadyAccepted(revision) => return Ok(revision),
        Decision::Write(change) => change,
        refused => return Err(Attempt::Refused(refusal(&refused))),
    };
    let record = Record::new(ground.digest, &change);
    match objects
        .create(&change_key(change.revision), record.text.clone())
        .await
    {
        Ok(()) => {
            advance(shared, Input::Written(vec![record]));
            if change.revision.0.is_multiple_of(SNAPSHOT_REVISIONS) {
                actix_rt::spawn(write_snapshot(shared.clone()));
            }
            Ok(change.revision)
        }
        Err(ObjectError::Mismatch) => Err(Attempt::Again(format!(
            "revision {} was taken by another change.",
            change.revision
        ))),
        Err(error) => Err(error.into()),
    }
}

/// Takes in what the object API holds after the head, and writes back what it lost.
async fn catch_up(shared: &Arc<Shared>, objects: &ObjectApi) -> Result<(), Attempt> {
    let ground = ground(shared);
    let head = ground.configuration.revision;
    let after = change_key(Revision(head.0.saturating_sub(1)));
    let found = objects
        .list_after(CHANGE_PREFIX, &after, Duration::ZERO)
        .await?;
    let records: Result<Vec<Record>, RecordError> = found
        .into_iter()
        .map(|object| Record::from_text(object.value))
        .collect();
    let records = records.map_err(|error| Attempt::Refused(diverged(&error)))?;
    if head > Revision(0) {
        match records.first() {
            Some(first) if first.revision == head => {
                if first.digest() != ground.digest {
                    return Err(Attempt::Refused(diverged(&RecordError::Divergent)));
                }
            }
            _ => write_back(shared, objects, head).await?,
        }
    }
    let newest = records.last().map(|record| record.revision);
    advance(shared, Input::Written(records));
    let now_at = ground_revision(shared);
    match newest {
        Some(newest) if newest > now_at => Err(Attempt::Again(format!(
            "revision {newest} exists, but only {now_at} is in force here."
        ))),
        _ => Ok(()),
    }
}

fn ground_revision(shared: &Shared) -> Revision {
    shared.dissemination.lock().history().head()
}

/// The object API does not show the head: it answered from an old replica, or was restored from a
/// backup. Creating the missing objects anew does no harm in the first case and mends the second.
async fn write_back(
    shared: &Arc<Shared>,
    objects: &ObjectApi,
    head: Revision,
) -> Result<(), Attempt> {
    let mut written = 0;
    let mut revision = head;
    while revision > Revision(0) && written < REPUBLISHED_AT_ONCE {
        let record = shared
            .dissemination
            .lock()
            .history()
            .record(revision)
            .cloned();
        let Some(record) = record else { break };
        match objects.create(&change_key(revision), record.text).await {
            Ok(()) => written += 1,
            Err(ObjectError::Mismatch) => break,
            Err(error) => return Err(error.into()),
        }
        revision = Revision(revision.0 - 1);
    }
    if written > 0 {
        warn!(shared.log, "configuration: Lost changes written back.";
            "count" => written, "newest" => %head);
    }
    Ok(())
}

fn diverged(error: &RecordError) -> ApiError {
    ApiError::not_run(ErrorCode::Conflict, error.to_string())
}

/// Writes the intent if there is none, and returns the base of the first attempt.
async fn declare_intent(
    objects: &ObjectApi,
    change_id: &ChangeId,
    head: Revision,
) -> Result<Revision, Attempt> {
    let key = intent_key(change_id);
    let text = serde_json::to_string(&Intent { base: head }).expect("intents serialise");
    match objects.create(&key, text).await {
        Ok(()) => return Ok(head),
        Err(ObjectError::Mismatch) => {}
        Err(error) => return Err(error.into()),
    }
    let intent = read_intent(objects, change_id).await?;
    // Not visible yet on the replica that answered.
    intent
        .map(|intent| intent.base)
        .ok_or_else(|| Attempt::Again("the change's first attempt is not visible yet.".to_owned()))
}

/// Every change after `base` up to `head`, from the own history or else from the object API.
async fn changes_after(
    shared: &Shared,
    objects: &ObjectApi,
    base: Revision,
    head: Revision,
) -> Result<Vec<Change>, Attempt> {
    let kept = shared
        .dissemination
        .lock()
        .history()
        .after(base, usize::MAX);
    let records = match kept {
        Some(records) => records,
        None => read_pages(objects, base, head).await?,
    };
    let mut changes = Vec::new();
    for record in records.iter().take_while(|record| record.revision <= head) {
        let change = record
            .change()
            .map_err(|error| Attempt::Refused(diverged(&error)))?;
        changes.push(change);
    }
    if changes.len() as u64 != head.0 - base.0 {
        let message = format!("the changes after revision {base} are not all visible.");
        return Err(Attempt::Again(message));
    }
    Ok(changes)
}

/// Reads the change objects after `base` page by page, so that no listing grows without bound.
async fn read_pages(
    objects: &ObjectApi,
    base: Revision,
    head: Revision,
) -> Result<Vec<Record>, Attempt> {
    let mut records = Vec::new();
    let mut first = base.next();
    while first <= head {
        let after = change_key(Revision(first.0 - 1));
        let found = objects
            .list_after(&page_prefix(first), &after, Duration::ZERO)
            .await?;
        for object in found {
            let record = Record::from_text(object.value);
            records.push(record.map_err(|error| Attempt::Refused(diverged(&error)))?);
        }
        first = Revision((first.0 / REVISIONS_PER_PAGE + 1) * REVISIONS_PER_PAGE);
    }
    Ok(records)
}

/// Writes the snapshot object from time to time; losing it costs a later start some time.
async fn write_snapshot(shared: Arc<Shared>) {
    let snapshot = shared.dissemination.lock().snapshot();
    let revision = snapshot.configuration.revision;
    let text = serde_json::to_string(&snapshot).expect("snapshots serialise");
    let objects = ObjectApi::new(&shared.settings.platform.object_api);
    match objects.replace(SNAPSHOT_KEY, text).await {
        Ok(()) => {
            info!(shared.log, "configuration: Snapshot written."; "revision" => %revision);
        }
        Err(error) => {
            warn!(shared.log, "configuration: Snapshot not written."; "reason" => %error);
        }
    }
}

fn refusal(decision: &Decision) -> ApiError {
    let lines = match decision {
        Decision::Conflict(others) => others.iter().map(ToString::to_string).collect(),
        Decision::Invalid(faults) => faults.iter().map(ToString::to_string).collect(),
        Decision::IdentifierTaken(revision) => {
            vec![format!(
                "Revision {revision} has this change identifier but another content."
            )]
        }
        Decision::AlreadyAccepted(_) | Decision::Write(_) => Vec::new(),
    };
    let code = match decision {
        Decision::Invalid(_) => ErrorCode::InvalidRequest,
        _ => ErrorCode::Conflict,
    };
    ApiError::not_run(code, lines.join("\n"))
}
