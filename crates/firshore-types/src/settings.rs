//! Errors of settings files.

use quick_error::quick_error;
use std::path::PathBuf;

quick_error! {
    /// Error in reading settings.
    #[derive(Debug)]
    pub enum SettingsError {
        /// The file cannot be read.
        Read(path: PathBuf, error: std::io::Error) {
            display("The settings file {} cannot be read: {error}. Give its path with --settings.", path.display())
        }
        /// The file is not TOML of the expected shape.
        Parse(path: PathBuf, error: toml::de::Error) {
            display("The settings file {} is invalid: {error} Correct the key that is named, as docs/REFERENCE.md gives.", path.display())
        }
        /// A value is invalid.
        Invalid(key: &'static str, value: String, remedy: &'static str) {
            display("Setting {key} = '{value}' cannot be used. {remedy}")
        }
    }
}
