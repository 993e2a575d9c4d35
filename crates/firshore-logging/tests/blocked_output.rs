//! A blocked log output must not block callers.

use firshore_logging::{LogFormat, LogSettings, to_writer};
use slog::info;
use std::io::{Result, Write};
use std::sync::mpsc::{Receiver, Sender, channel};

/// Writer that blocks until `gate` opens and sends everything written when it is dropped.
struct GatedWriter {
    gate: Receiver<()>,
    open: bool,
    buffer: Vec<u8>,
    /// Notified of each write.
    written: Sender<()>,
    /// Receives all written bytes on drop.
    output: Sender<Vec<u8>>,
}

impl Write for GatedWriter {
    fn write(&mut self, bytes: &[u8]) -> Result<usize> {
        if !self.open {
            let _ = self.gate.recv();
            self.open = true;
        }
        self.buffer.extend_from_slice(bytes);
        if bytes.ends_with(b"\n") {
            let _ = self.written.send(());
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> Result<()> {
        Ok(())
    }
}

impl Drop for GatedWriter {
    fn drop(&mut self) {
        let _ = self.output.send(std::mem::take(&mut self.buffer));
    }
}

#[test]
fn blocked_output_drops_and_counts_lines() {
    const LINES: usize = 5_000;
    const WRITES_BEFORE_REPORT: usize = 20;
    let (open, gate) = channel();
    let (output, received) = channel();
    let (written, writes) = channel();
    let writer = GatedWriter {
        gate,
        open: false,
        buffer: Vec::new(),
        written,
        output,
    };
    let settings = LogSettings {
        format: LogFormat::Json,
        ..LogSettings::default()
    };
    let log = to_writer(&settings, writer);
    // The writer is blocked: if logging waited for it, this would not return.
    for number in 0..LINES {
        info!(log, "test: Line."; "number" => number);
    }
    open.send(()).unwrap();
    // After some writes the queue has space for the line that counts the dropped ones.
    for _ in 0..WRITES_BEFORE_REPORT {
        writes.recv().unwrap();
    }
    info!(log, "test: After.");
    drop(log);
    let text = String::from_utf8(received.recv().unwrap()).unwrap();
    let written = text
        .lines()
        .filter(|line| line.contains("test: Line."))
        .count();
    assert!(written > 0 && written < LINES, "{written} lines written");
    let dropped = text.lines().find(|line| line.contains("dropped"));
    assert!(dropped.is_some(), "a line says that lines were dropped");
}
