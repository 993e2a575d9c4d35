//! Reads the floor from the journal at the start, and keeps it close behind what is in force.

use crate::configuration::{advance, await_members};
use crate::journal;
use crate::shared::Shared;
use firshore_config::dissemination::Input;
use firshore_types::error::{ApiError, ErrorCode};
use firshore_types::ids::Revision;
use slog::{info, warn};
use std::sync::Arc;
use std::time::Duration;

const READ_RETRY: Duration = Duration::from_millis(500);

/// How often readers compare the floor with what is in force, in milliseconds.
const SETTLE_MILLISECONDS: u64 = 5_000;

/// Refuses work while the node may not serve.
pub fn check(shared: &Shared) -> Result<(), ApiError> {
    let allowed = shared.floor.lock().check(shared.clock.now());
    allowed.map_err(|reason| {
        ApiError::not_run(ErrorCode::Unavailable, reason.to_string()).retry_after(1)
    })
}

/// Reads the floor at the start and after a pause; settles what accepting nodes left behind.
pub async fn run(shared: Arc<Shared>) {
    await_members(&shared).await;
    let mut settled_at = shared.clock.now();
    loop {
        if !shared.floor.lock().is_confirmed() {
            read(&shared).await;
        }
        let now = shared.clock.now();
        if now.saturating_sub(settled_at) >= SETTLE_MILLISECONDS {
            settled_at = now;
            settle(&shared).await;
        }
        actix_rt::time::sleep(READ_RETRY).await;
    }
}

async fn read(shared: &Arc<Shared>) {
    // Raising the floor to nothing commits, and so reads it through a majority.
    match journal::raise_floor(shared, Revision(0)).await {
        Ok(floor) => {
            shared.floor.lock().floor_read(shared.clock.now(), floor);
            advance(shared, Input::Floor(floor));
            info!(shared.log, "configuration: Floor read."; "floor" => %floor);
        }
        Err(error) => {
            warn!(shared.log, "configuration: Floor unread."; "reason" => %error);
        }
    }
}

/// A node that wrote a change and died before it raised the floor leaves a change that is in force
/// but not protected; a reader raises the floor in its place.
async fn settle(shared: &Arc<Shared>) {
    let (reads, head, floor) = {
        let dissemination = shared.dissemination.lock();
        let reads = dissemination.is_reader(shared.clock.now());
        (reads, dissemination.history().head(), dissemination.floor())
    };
    if !reads || head <= floor {
        return;
    }
    if let Ok(floor) = journal::raise_floor(shared, head).await {
        advance(shared, Input::Floor(floor));
    }
}
