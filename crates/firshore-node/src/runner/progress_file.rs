//! File with the items' events on this node's disk, which survives a stop of all processes.
//!
//! The file is a sequence of frames of length, checksum and deltas in CBOR. It is read up to the first
//! incomplete or corrupt frame. Its contents are not durable: missing events are generated again. A separate
//! thread writes and syncs, so that slow disks don't block the node. What waits for a slow disk is replaced by one
//! frame with all events, so that the file holds the last ones as soon as the disk has caught up.

use super::handover::ProgressDelta;
use super::write_queue::{FileCommand, WriteQueue};
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use xxhash_rust::xxh3::xxh3_64;

const FILE_NAME: &str = "progress";
const NEW_FILE_NAME: &str = "progress.new";

/// The file is rewritten when it exceeds twice its size after the last rewrite by this many bytes.
const SLACK_BYTES: usize = 2 * 1024 * 1024;

const LENGTH_BYTES: usize = 4;
/// Length and checksum.
const HEADER_BYTES: usize = LENGTH_BYTES + 8;

/// Waits until the disk holds what was written to a file.
pub type SyncFile = Box<dyn Fn(&File) -> io::Result<()> + Send>;

/// Handle to the file and the thread that writes it.
pub struct ProgressFile {
    queue: Arc<WriteQueue>,
    /// Set when a write failed, so that the file has to be rewritten.
    incomplete: Arc<AtomicBool>,
    appended: usize,
    rewrite_at: usize,
}

/// Encodes deltas as a frame.
fn encode_frame(deltas: &[ProgressDelta]) -> Vec<u8> {
    let mut bytes = vec![0; HEADER_BYTES];
    ciborium::into_writer(deltas, &mut bytes).expect("progress serialises");
    let length = (bytes.len() - HEADER_BYTES) as u32;
    let checksum = xxh3_64(&bytes[HEADER_BYTES..]);
    bytes[..LENGTH_BYTES].copy_from_slice(&length.to_le_bytes());
    bytes[LENGTH_BYTES..HEADER_BYTES].copy_from_slice(&checksum.to_le_bytes());
    bytes
}

/// Removes the first frame from `bytes` and decodes it; `None` if it is incomplete or corrupt.
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
    /// Opens the file in a node's data folder, whose disk is awaited with `sync`. Returns its handle and its deltas in the
    /// order in which they were appended.
    ///
    /// # Errors
    ///
    /// Fails if the folder cannot be read or written.
    pub fn open(folder: &Path, sync: SyncFile) -> io::Result<(Self, Vec<Vec<ProgressDelta>>)> {
        let path = folder.join(FILE_NAME);
        let content = match fs::read(&path) {
            Ok(content) => content,
            Err(error) if error.kind() == io::ErrorKind::NotFound => Vec::new(),
            Err(error) => return Err(error),
        };
        let mut rest = content.as_slice();
        let mut frames = Vec::new();
        while let Some(deltas) = next_frame(&mut rest) {
            frames.push(deltas);
        }
        // Truncates after the last valid frame: frames appended behind an invalid one could not be read.
        let file = OpenOptions::new().create(true).append(true).open(&path)?;
        file.set_len((content.len() - rest.len()) as u64)?;
        let queue = Arc::new(WriteQueue::default());
        let incomplete = Arc::new(AtomicBool::new(false));
        let writer = FileWriter {
            folder: folder.to_owned(),
            file,
            sync,
            incomplete: incomplete.clone(),
        };
        let commands = queue.clone();
        std::thread::Builder::new()
            .name("progress".to_owned())
            .spawn(move || writer.run(&commands))?;
        let appended = content.len() - rest.len();
        let opened = Self {
            queue,
            incomplete,
            appended,
            rewrite_at: appended + SLACK_BYTES,
        };
        Ok((opened, frames))
    }

    /// Appends deltas without waiting for the disk. If the file has grown too large or lacks frames, or if too many
    /// wait for the disk, it is rewritten from `all` deltas instead.
    pub fn append(&mut self, deltas: &[ProgressDelta], all: impl FnOnce() -> Vec<ProgressDelta>) {
        let is_too_large = self.appended >= self.rewrite_at;
        let lacks_frames = self.incomplete.load(Ordering::Relaxed);
        if is_too_large || lacks_frames || self.queue.is_full() {
            return self.rewrite(&all());
        }
        let frame = encode_frame(deltas);
        self.appended += frame.len();
        self.queue.append(frame);
    }

    fn rewrite(&mut self, all: &[ProgressDelta]) {
        let frame = encode_frame(all);
        let length = frame.len();
        // Cleared before sending: the thread may fail and set it at once.
        self.incomplete.store(false, Ordering::Relaxed);
        self.queue.rewrite(frame);
        self.appended = length;
        self.rewrite_at = 2 * length + SLACK_BYTES;
    }
}

impl Drop for ProgressFile {
    fn drop(&mut self) {
        self.queue.close();
    }
}

struct FileWriter {
    folder: PathBuf,
    file: File,
    sync: SyncFile,
    incomplete: Arc<AtomicBool>,
}

impl FileWriter {
    fn run(mut self, commands: &WriteQueue) {
        while let Some(command) = commands.next() {
            let written = match command {
                FileCommand::Append(frame) => self.append(&frame),
                FileCommand::Rewrite(frame) => self.rewrite(&frame),
            };
            if written.is_err() {
                self.incomplete.store(true, Ordering::Relaxed);
            }
        }
    }

    fn append(&mut self, frame: &[u8]) -> io::Result<()> {
        if self.incomplete.load(Ordering::Relaxed) {
            // An earlier frame is missing, so that later ones must not follow the last one written.
            return Ok(());
        }
        self.file.write_all(frame)?;
        (self.sync)(&self.file)
    }

    fn rewrite(&mut self, frame: &[u8]) -> io::Result<()> {
        let path = self.folder.join(NEW_FILE_NAME);
        let mut file = File::create(&path)?;
        file.write_all(frame)?;
        (self.sync)(&file)?;
        fs::rename(&path, self.folder.join(FILE_NAME))?;
        self.file = file;
        File::open(&self.folder)?.sync_all()
    }
}
