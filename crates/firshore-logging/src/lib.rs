//! Logging on a separate thread. A slow reader of the output does not block callers: lines that do not
//! fit the queue are dropped, and a later line reports their number.
#![deny(missing_docs, unsafe_code)]

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use slog::{Drain, Level, Logger, o};

/// How the node logs.
#[derive(Clone, Debug, Default, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Text or JSON.
    pub format: LogFormat,
    /// Least severe level written.
    pub level: LogLevel,
}

/// Form of log lines.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// One readable line an event.
    #[default]
    Text,
    /// One JSON object an event.
    Json,
}

/// Severity of log lines.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Failures that need an operator.
    Error,
    /// Failures that the node handles.
    Warning,
    /// Changes of state.
    #[default]
    Info,
    /// Every decision.
    Debug,
}

/// Output of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Destination {
    /// Standard output.
    Output,
    /// Standard error.
    Error,
}

impl LogLevel {
    fn minimum_level(self) -> Level {
        match self {
            Self::Error => Level::Error,
            Self::Warning => Level::Warning,
            Self::Info => Level::Info,
            Self::Debug => Level::Debug,
        }
    }
}

/// Builds the root logger, which writes on a separate thread.
pub fn root(settings: &LogSettings, destination: Destination) -> Logger {
    match destination {
        Destination::Output => to_writer(settings, std::io::stdout()),
        Destination::Error => to_writer(settings, std::io::stderr()),
    }
}

/// Builds a logger for any writer. A writer that blocks stops only the logging thread.
pub fn to_writer(settings: &LogSettings, writer: impl std::io::Write + Send + 'static) -> Logger {
    let level = settings.level.minimum_level();
    match settings.format {
        LogFormat::Text => {
            let decorator = slog_term::PlainDecorator::new(writer);
            build_logger(slog_term::FullFormat::new(decorator).build().fuse(), level)
        }
        LogFormat::Json => build_logger(slog_json::Json::default(writer).fuse(), level),
    }
}

/// Returns a logger that discards all lines, for tests and the lab.
pub fn silent() -> Logger {
    Logger::root(slog::Discard, o!())
}

fn build_logger<D>(drain: D, level: Level) -> Logger
where
    D: Drain<Ok = (), Err = slog::Never> + Send + 'static,
{
    let queue = slog_async::Async::new(drain).build().fuse();
    Logger::root(slog::LevelFilter::new(queue, level).fuse(), o!())
}
