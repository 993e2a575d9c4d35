//! A reader that takes nothing delays nobody.

use firshore_logging::{LogFormat, LogSettings, to_writer};
use slog::info;
use std::io::{Result, Write};
use std::sync::mpsc::{Receiver, Sender, channel};

/// Takes a line only once it is let, and tells what it took when it ends.
struct GatedWriter {
    gate: Receiver<()>,
    open: bool,
    taken: Vec<u8>,
    /// Told of each line taken.
    wrote: Sender<()>,
    /// Told all that was taken, at the end.
    told: Sender<Vec<u8>>,
}

impl Write for GatedWriter {
    fn write(&mut self, bytes: &[u8]) -> Result<usize> {
        if !self.open {
            let _ = self.gate.recv();
            self.open = true;
        }
        self.taken.extend_from_slice(bytes);
        if bytes.ends_with(b"\n") {
            let _ = self.wrote.send(());
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> Result<()> {
        Ok(())
    }
}

impl Drop for GatedWriter {
    fn drop(&mut self) {
        let _ = self.told.send(std::mem::take(&mut self.taken));
    }
}

#[test]
fn lines_that_nobody_reads_are_dropped_and_counted() {
    const LINES: usize = 5_000;
    const ROOM: usize = 20;
    let (open, gate) = channel();
    let (told, taken) = channel();
    let (wrote, writes) = channel();
    let writer = GatedWriter {
        gate,
        open: false,
        taken: Vec::new(),
        wrote,
        told,
    };
    let settings = LogSettings {
        format: LogFormat::Json,
        ..LogSettings::default()
    };
    let log = to_writer(&settings, writer);
    // Nothing is taken meanwhile: if a line waited for the writer, this would never end.
    for number in 0..LINES {
        info!(log, "test: Line."; "number" => number);
    }
    open.send(()).unwrap();
    // Once some were taken there is room for the line that counts the dropped ones.
    for _ in 0..ROOM {
        writes.recv().unwrap();
    }
    info!(log, "test: After.");
    drop(log);
    let taken = String::from_utf8(taken.recv().unwrap()).unwrap();
    let written = taken
        .lines()
        .filter(|line| line.contains("test: Line."))
        .count();
    assert!(written > 0 && written < LINES, "{written} lines written");
    let dropped = taken.lines().find(|line| line.contains("dropped"));
    assert!(dropped.is_some(), "a line says that lines were dropped");
}
