//! Free disk space of the data folder.

use std::path::Path;

/// Returns the free bytes of the file system that holds `folder`, or `None` if the query fails.
pub fn free_bytes(folder: &Path) -> Option<u64> {
    let statistics = rustix::fs::statvfs(folder).ok()?;
    Some(statistics.f_bavail.saturating_mul(statistics.f_frsize))
}
