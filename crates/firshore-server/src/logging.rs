//! The log: short sentences, each behind the fixed prefix of its part.

use crate::settings::{LogFormat, LogLevel, LogSettings};
use slog::{Drain, Level, Logger, o};

/// Builds the root logger; it writes to standard error on a thread of its own.
pub fn root(settings: &LogSettings) -> Logger {
    let level = match settings.level {
        LogLevel::Error => Level::Error,
        LogLevel::Warning => Level::Warning,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    };
    match settings.format {
        LogFormat::Text => {
            let decorator = slog_term::PlainDecorator::new(std::io::stderr());
            finish(slog_term::FullFormat::new(decorator).build().fuse(), level)
        }
        LogFormat::Json => finish(slog_json::Json::default(std::io::stderr()).fuse(), level),
    }
}

/// A logger that writes nothing, for tests and the lab.
pub fn silent() -> Logger {
    Logger::root(slog::Discard, o!())
}

fn finish<D>(drain: D, level: Level) -> Logger
where
    D: Drain<Ok = (), Err = slog::Never> + Send + 'static,
{
    let queue = slog_async::Async::new(drain).build().fuse();
    Logger::root(slog::LevelFilter::new(queue, level).fuse(), o!())
}
