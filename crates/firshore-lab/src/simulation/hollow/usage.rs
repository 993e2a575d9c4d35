//! Processor time and memory of this process, as the kernel counts them.

use std::fs;

/// Nanoseconds that the calling thread has run.
pub fn thread_processor_nanoseconds() -> Option<u64> {
    let text = fs::read_to_string("/proc/thread-self/schedstat").ok()?;
    text.split_whitespace().next()?.parse().ok()
}

/// Resident bytes of this process.
pub fn resident_bytes() -> Option<u64> {
    let text = fs::read_to_string("/proc/self/status").ok()?;
    let line = text.lines().find(|line| line.starts_with("VmRSS:"))?;
    let kibibytes: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kibibytes * 1024)
}
