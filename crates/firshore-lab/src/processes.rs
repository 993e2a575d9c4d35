//! Processes that the lab starts, signals and restarts.

use std::io::{self, BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

const EXIT_POLL: Duration = Duration::from_millis(20);

/// A signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Asks to stop.
    Terminate,
    /// Pauses.
    Stop,
    /// Lets it go on.
    Continue,
}

impl Signal {
    fn flag(self) -> &'static str {
        match self {
            Self::Terminate => "-TERM",
            Self::Stop => "-STOP",
            Self::Continue => "-CONT",
        }
    }
}

/// A child process, killed when dropped.
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts a program and returns the first line that it prints. Its errors go to `log`.
    pub fn start(program: &Path, arguments: &[String], log: &Path) -> io::Result<(Self, String)> {
        let errors = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(log)?;
        let mut child = Command::new(program)
            .args(arguments)
            .stdout(Stdio::piped())
            .stderr(errors)
            .spawn()?;
        let mut line = String::new();
        if let Some(output) = child.stdout.take() {
            let mut reader = BufReader::new(output);
            reader.read_line(&mut line)?;
            // Whatever else it prints is dropped, so that it never waits for a reader.
            std::thread::spawn(move || io::copy(&mut reader, &mut io::sink()));
        }
        let process = Self { child };
        if line.is_empty() {
            let message = format!("{} ended at once; see {}", program.display(), log.display());
            return Err(io::Error::other(message));
        }
        Ok((process, line.trim().to_owned()))
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        let status = Command::new("kill")
            .arg(signal.flag())
            .arg(self.child.id().to_string())
            .status()?;
        if status.success() {
            Ok(())
        } else {
            Err(io::Error::other("the process is gone"))
        }
    }

    /// Ends it at once.
    pub fn kill(&mut self) -> io::Result<()> {
        self.child.kill()?;
        self.child.wait().map(|_| ())
    }

    /// Waits for its end; `None` if it has not come after `patience`.
    pub async fn ended(&mut self, patience: Duration) -> io::Result<Option<ExitStatus>> {
        let start = Instant::now();
        while start.elapsed() < patience {
            if let Some(status) = self.child.try_wait()? {
                return Ok(Some(status));
            }
            actix_rt::time::sleep(EXIT_POLL).await;
        }
        Ok(None)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.kill();
    }
}

/// The program `name` beside the one that runs.
pub fn beside(name: &str) -> Result<PathBuf, String> {
    let own = std::env::current_exe().map_err(|error| error.to_string())?;
    let found = own.with_file_name(name);
    if found.is_file() {
        return Ok(found);
    }
    Err(format!(
        "{} is missing. Build the whole workspace with the same profile.",
        found.display()
    ))
}
