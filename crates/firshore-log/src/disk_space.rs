//! Free space of the data folder.

use std::path::Path;

/// Bytes that can still be written below `folder`; `None` if it cannot be told.
pub fn free_bytes(folder: &Path) -> Option<u64> {
    let statistics = rustix::fs::statvfs(folder).ok()?;
    Some(statistics.f_bavail.saturating_mul(statistics.f_frsize))
}
