//! Brings the configuration into force on this node, and writes new changes.

use crate::platform::machine_list;
use crate::platform::object_api::{ObjectApi, ObjectError};
use crate::shared::{ConfigurationView, Shared};
use firshore_config::proposal::{Decision, Proposal};
use firshore_config::{CHANGE_PREFIX, change_key};
use firshore_types::configuration::{Change, Configuration};
use firshore_types::error::{ApiError, ErrorCode};
use firshore_types::ids::Revision;
use slog::{info, warn};
use std::sync::Arc;
use std::time::Duration;

const WATCH_WAIT: Duration = Duration::from_secs(2);
const RETRY_PAUSE: Duration = Duration::from_millis(500);
const MACHINE_LIST_INTERVAL: Duration = Duration::from_millis(500);

/// Follows the object API until the node ends.
pub async fn run(shared: Arc<Shared>) {
    let log = shared.log.new(slog::o!("part" => "configuration"));
    let objects = ObjectApi::new(&shared.settings.platform.object_api);
    loop {
        let revision = shared.configuration().configuration.revision;
        let after = change_key(revision);
        match objects.list_after(CHANGE_PREFIX, &after, WATCH_WAIT).await {
            Ok(found) => {
                for object in found {
                    match serde_json::from_str::<Change>(&object.value) {
                        Ok(change) => adopt(&shared, &change),
                        Err(error) => {
                            warn!(log, "configuration: Change unreadable."; "key" => object.key, "reason" => %error);
                        }
                    }
                }
                let now = shared.configuration().configuration.revision;
                if now != revision {
                    info!(log, "configuration: In force."; "revision" => %now);
                }
            }
            Err(error) => {
                warn!(log, "configuration: Object API unreadable."; "reason" => %error);
                actix_rt::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Puts a change into force if it directly follows the revision in force.
fn adopt(shared: &Shared, change: &Change) {
    let mut view = shared.configuration.write();
    let mut configuration = view.configuration.clone();
    if configuration.apply(change) {
        *view = Arc::new(ConfigurationView::new(configuration));
    }
}

/// Follows the machine list until the node ends.
pub async fn run_machine_list(shared: Arc<Shared>) {
    loop {
        if let Some(machines) = machine_list::read(&shared.settings.platform.machine_list).await {
            shared.router.lock().update(shared.clock.now(), &machines);
            *shared.machines.write() = Arc::new(machines);
        }
        actix_rt::time::sleep(MACHINE_LIST_INTERVAL).await;
    }
}

/// Brings `configuration` up to the newest change in the object API.
async fn newest(
    objects: &ObjectApi,
    mut configuration: Configuration,
) -> Result<(Configuration, Vec<Change>), ObjectError> {
    let after = change_key(configuration.revision);
    let mut changes = Vec::new();
    for object in objects
        .list_after(CHANGE_PREFIX, &after, Duration::ZERO)
        .await?
    {
        let Ok(change) = serde_json::from_str::<Change>(&object.value) else {
            continue;
        };
        if configuration.apply(&change) {
            changes.push(change);
        }
    }
    Ok((configuration, changes))
}

fn unavailable(error: &ObjectError) -> ApiError {
    ApiError::maybe_run(ErrorCode::Unavailable, error.to_string()).retry_after(1)
}

fn refusal(decision: &Decision) -> ApiError {
    let lines = match decision {
        Decision::Conflict(others) => others.iter().map(ToString::to_string).collect(),
        Decision::Invalid(faults) => faults.iter().map(ToString::to_string).collect(),
        Decision::IdentifierTaken(revision) => {
            vec![format!("Revision {revision} has this change identifier.")]
        }
        Decision::AlreadyAccepted(_) | Decision::Write(_) => Vec::new(),
    };
    let code = match decision {
        Decision::Invalid(_) => ErrorCode::InvalidRequest,
        _ => ErrorCode::Conflict,
    };
    ApiError::not_run(code, lines.join("\n"))
}

/// Accepts a proposal: settles it if it was accepted before, refuses it if another change came
/// between, else writes it.
pub async fn accept(shared: &Shared, proposal: &Proposal) -> Result<Revision, ApiError> {
    let objects = ObjectApi::new(&shared.settings.platform.object_api);
    let held = shared.configuration().configuration.clone();
    let held_revision = held.revision;
    let (current, changes) = newest(&objects, held)
        .await
        .map_err(|error| unavailable(&error))?;
    if proposal.base < held_revision {
        let message = format!(
            "The proposal was made on revision {}, but revision {held_revision} is in force.",
            proposal.base
        );
        return Err(ApiError::not_run(ErrorCode::Conflict, message));
    }
    let change = match proposal.decide(&current, &changes) {
        Decision::AlreadyAccepted(revision) => return Ok(revision),
        Decision::Write(change) => change,
        refused => return Err(refusal(&refused)),
    };
    let text = serde_json::to_string(&change).expect("changes serialise");
    match objects.create(&change_key(change.revision), text).await {
        Ok(()) => Ok(change.revision),
        Err(ObjectError::Mismatch) => {
            let message = format!("Revision {} was taken by another change.", change.revision);
            Err(ApiError::not_run(ErrorCode::Conflict, message))
        }
        Err(error) => match newest(&objects, current).await {
            Ok((_, later))
                if later
                    .iter()
                    .any(|other| other.change_id == change.change_id) =>
            {
                Ok(change.revision)
            }
            _ => Err(unavailable(&error)),
        },
    }
}
