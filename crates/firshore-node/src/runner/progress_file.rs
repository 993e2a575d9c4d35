//! What items have produced, on this node's disk, so that it outlives the end of all processes.
//!
//! A sequence of frames: length, checksum, and progress as it was told, in CBOR. It is read up to the
//! first frame that is not whole. Nothing in it is promised: what is missing is made again. Writing
//! and syncing happen on a thread of their own, since disks can be slow.

use super::handover::ProgressDelta;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use xxhash_rust::xxh3::xxh3_64;

const FILE: &str = "progress";
const NEW_FILE: &str = "progress.new";

/// Frames that may wait for the disk; beyond that the file is written anew once it keeps up.
const QUEUE: usize = 32;

/// Bytes that are appended, beyond twice what was live, before the file is written anew.
const SLACK_BYTES: usize = 2 * 1024 * 1024;

const LENGTH_BYTES: usize = 4;
const HEADER_BYTES: usize = LENGTH_BYTES + 8;

enum FileCommand {
    Append(Vec<u8>),
    Rewrite(Vec<u8>),
}

/// The file, and the thread that writes it.
pub struct ProgressFile {
    commands: SyncSender<FileCommand>,
    /// Set when the file does not hold what was appended: it has to be written anew.
    broken: Arc<AtomicBool>,
    appended: usize,
    rewrite_at: usize,
}

fn frame(deltas: &[ProgressDelta]) -> Vec<u8> {
    let mut bytes = vec![0; HEADER_BYTES];
    ciborium::into_writer(deltas, &mut bytes).expect("progress serialises");
    let length = (bytes.len() - HEADER_BYTES) as u32;
    let checksum = xxh3_64(&bytes[HEADER_BYTES..]);
    bytes[..LENGTH_BYTES].copy_from_slice(&length.to_le_bytes());
    bytes[LENGTH_BYTES..HEADER_BYTES].copy_from_slice(&checksum.to_le_bytes());
    bytes
}

/// Takes the first frame off `bytes`; `None` if it is not whole.
fn next_frame(bytes: &mut &[u8]) -> Option<Vec<ProgressDelta>> {
    let (length, rest) = bytes.split_first_chunk::<LENGTH_BYTES>()?;
    let (checksum, rest) = rest.split_first_chunk::<8>()?;
    let content = rest.get(..u32::from_le_bytes(*length) as usize)?;
    if xxh3_64(content) != u64::from_le_bytes(*checksum) {
        return None;
    }
    *bytes = &rest[content.len()..];
    ciborium::from_reader(content).ok()
}

impl ProgressFile {
    /// Opens the file in a node's data folder. Returns it with what it holds, in the order in which it
    /// was told.
    ///
    /// # Errors
    ///
    /// Fails if the folder cannot be read or written.
    pub fn open(folder: &Path) -> io::Result<(Self, Vec<Vec<ProgressDelta>>)> {
        let path = folder.join(FILE);
        let held = match fs::read(&path) {
            Ok(held) => held,
            Err(error) if error.kind() == io::ErrorKind::NotFound => Vec::new(),
            Err(error) => return Err(error),
        };
        let mut rest = held.as_slice();
        let mut told = Vec::new();
        while let Some(deltas) = next_frame(&mut rest) {
            told.push(deltas);
        }
        // Whatever follows the last whole frame must not stand before the next one.
        let file = OpenOptions::new().create(true).append(true).open(&path)?;
        file.set_len((held.len() - rest.len()) as u64)?;
        let (commands, received) = sync_channel(QUEUE);
        let broken = Arc::new(AtomicBool::new(false));
        let writer = FileWriter {
            folder: folder.to_owned(),
            file,
            broken: broken.clone(),
        };
        std::thread::Builder::new()
            .name("progress".to_owned())
            .spawn(move || writer.run(&received))?;
        let appended = held.len() - rest.len();
        let opened = Self {
            commands,
            broken,
            appended,
            rewrite_at: appended + SLACK_BYTES,
        };
        Ok((opened, told))
    }

    /// Writes what was told, without waiting for the disk. If the file has grown large, or lacks
    /// something, it is written anew from `all` that is held.
    pub fn append(&mut self, deltas: &[ProgressDelta], all: impl FnOnce() -> Vec<ProgressDelta>) {
        if self.appended >= self.rewrite_at || self.broken.load(Ordering::Relaxed) {
            return self.rewrite(&all());
        }
        let frame = frame(deltas);
        self.appended += frame.len();
        if self.commands.try_send(FileCommand::Append(frame)).is_err() {
            self.broken.store(true, Ordering::Relaxed);
        }
    }

    fn rewrite(&mut self, all: &[ProgressDelta]) {
        let frame = frame(all);
        let length = frame.len();
        // Cleared first: the thread may fail at once.
        self.broken.store(false, Ordering::Relaxed);
        if self.commands.try_send(FileCommand::Rewrite(frame)).is_err() {
            return self.broken.store(true, Ordering::Relaxed);
        }
        self.appended = length;
        self.rewrite_at = 2 * length + SLACK_BYTES;
    }
}

struct FileWriter {
    folder: PathBuf,
    file: File,
    broken: Arc<AtomicBool>,
}

impl FileWriter {
    fn run(mut self, commands: &Receiver<FileCommand>) {
        while let Ok(command) = commands.recv() {
            let written = match command {
                FileCommand::Append(frame) => self.append(&frame),
                FileCommand::Rewrite(frame) => self.rewrite(&frame),
            };
            if written.is_err() {
                self.broken.store(true, Ordering::Relaxed);
            }
        }
    }

    fn append(&mut self, frame: &[u8]) -> io::Result<()> {
        if self.broken.load(Ordering::Relaxed) {
            // Something before it is missing: what would follow must not be read as its sequel.
            return Ok(());
        }
        self.file.write_all(frame)?;
        self.file.sync_data()
    }

    fn rewrite(&mut self, frame: &[u8]) -> io::Result<()> {
        let path = self.folder.join(NEW_FILE);
        let mut file = File::create(&path)?;
        file.write_all(frame)?;
        file.sync_data()?;
        fs::rename(&path, self.folder.join(FILE))?;
        self.file = file;
        File::open(&self.folder)?.sync_all()
    }
}
