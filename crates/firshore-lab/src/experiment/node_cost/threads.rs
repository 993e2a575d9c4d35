//! Processor time of groups of threads of this process, as the kernel counts it.

use std::collections::BTreeSet;
use std::io;
use std::time::Duration;

/// A group of threads, by their numbers.
#[derive(Clone, Debug, Default)]
pub struct ThreadGroup {
    threads: BTreeSet<u32>,
}

fn live() -> io::Result<BTreeSet<u32>> {
    let mut threads = BTreeSet::new();
    for entry in std::fs::read_dir("/proc/self/task")? {
        let name = entry?.file_name();
        threads.extend(name.to_string_lossy().parse::<u32>());
    }
    Ok(threads)
}

impl ThreadGroup {
    /// Every thread that lives now.
    pub fn all() -> io::Result<Self> {
        Ok(Self { threads: live()? })
    }

    /// Threads that live now and are not in `earlier`.
    pub fn since(earlier: &Self) -> io::Result<Self> {
        let threads = live()?.difference(&earlier.threads).copied().collect();
        Ok(Self { threads })
    }

    /// Time that the group's threads have been on a processor; a thread that has ended counts
    /// nothing.
    pub fn processor_time(&self) -> Duration {
        let nanoseconds = self
            .threads
            .iter()
            .filter_map(|thread| {
                let path = format!("/proc/self/task/{thread}/schedstat");
                let text = std::fs::read_to_string(path).ok()?;
                text.split_whitespace().next()?.parse::<u64>().ok()
            })
            .sum();
        Duration::from_nanos(nanoseconds)
    }

    /// Number of threads.
    pub fn len(&self) -> usize {
        self.threads.len()
    }

    /// Whether it has none.
    pub fn is_empty(&self) -> bool {
        self.threads.is_empty()
    }
}
