//! Keeps the configuration in force on the node's disk, so that a cluster whose nodes all restart
//! while the object API is down has something to start from.

use crate::shared::Shared;
use firshore_config::message::Snapshot;
use firshore_types::ids::Revision;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use sha2::{Digest, Sha256};
use slog::{info, warn};
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

const FILE_NAME: &str = "configuration.json";
const TEMPORARY_FILE_NAME: &str = "configuration.json.new";

/// Least time between two writes.
const STORE_INTERVAL: Duration = Duration::from_secs(5);

#[derive(Serialize, Deserialize)]
struct Kept {
    /// SHA-256 of the snapshot's text in hexadecimal.
    checksum: String,
    snapshot: Box<RawValue>,
}

fn checksum(text: &str) -> String {
    hex::encode(Sha256::digest(text.as_bytes()))
}

/// Reads what `folder` keeps, if anything.
///
/// Errors: the file cannot be read, is torn, or is of another version.
pub fn load(folder: &Path) -> io::Result<Option<Snapshot>> {
    let text = match fs::read_to_string(folder.join(FILE_NAME)) {
        Ok(text) => text,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(error),
    };
    let kept: Kept = serde_json::from_str(&text)?;
    if checksum(kept.snapshot.get()) != kept.checksum {
        return Err(io::Error::other("the checksum does not fit"));
    }
    Ok(Some(serde_json::from_str(kept.snapshot.get())?))
}

/// Replaces what `folder` keeps; after a crash the file is the old or the new one, whole.
pub fn store(folder: &Path, snapshot: &Snapshot) -> io::Result<()> {
    let snapshot = serde_json::value::to_raw_value(snapshot)?;
    let kept = Kept {
        checksum: checksum(snapshot.get()),
        snapshot,
    };
    fs::create_dir_all(folder)?;
    let temporary = folder.join(TEMPORARY_FILE_NAME);
    let mut file = File::create(&temporary)?;
    file.write_all(&serde_json::to_vec(&kept)?)?;
    file.sync_all()?;
    fs::rename(&temporary, folder.join(FILE_NAME))?;
    File::open(folder)?.sync_all()
}

fn folder(shared: &Shared) -> Option<PathBuf> {
    let storage = shared.settings.storage.as_ref()?;
    Some(storage.data_folder.clone())
}

/// Reads the kept configuration on a thread of its own.
pub async fn restore(shared: &Shared) -> Option<Snapshot> {
    let folder = folder(shared)?;
    let loaded = actix_rt::task::spawn_blocking(move || load(&folder)).await;
    match loaded {
        Ok(Ok(snapshot)) => snapshot,
        Ok(Err(error)) => {
            warn!(shared.log, "configuration: Kept file ignored."; "reason" => %error);
            None
        }
        Err(_) => None,
    }
}

/// Keeps each new configuration until the node ends.
pub async fn run(shared: Arc<Shared>) {
    let Some(folder) = folder(&shared) else {
        return;
    };
    let mut kept = Revision(0);
    loop {
        actix_rt::time::sleep(STORE_INTERVAL).await;
        let snapshot = {
            let dissemination = shared.dissemination.lock();
            let newer = dissemination.history().head() > kept;
            newer.then(|| dissemination.snapshot())
        };
        let Some(snapshot) = snapshot else { continue };
        let revision = snapshot.configuration.revision;
        let folder = folder.clone();
        let stored = actix_rt::task::spawn_blocking(move || store(&folder, &snapshot)).await;
        match stored {
            Ok(Ok(())) => {
                kept = revision;
                info!(shared.log, "configuration: Kept on disk."; "revision" => %revision);
            }
            Ok(Err(error)) => {
                warn!(shared.log, "configuration: Not kept on disk."; "reason" => %error);
            }
            Err(_) => {}
        }
    }
}
