//! Tests of reading settings, and of the errors for invalid ones.

use firshore_node::settings::{Settings, SettingsError};
use std::io::Write;

const VALID: &str = "name = 'n'\nregion = 'r'\nzone = 'z'\n\
    [listen]\ncallers = '127.0.0.1:1'\npeers = '127.0.0.1:2'\n\
    [objects]\naddress = '127.0.0.1:3'\nhistory_seconds = 20\n\
    [cluster]\nsecret = 'sixteen bytes of secret'\ntolerated_disk_losses = 1\n\
    [leave]\ngrace_seconds = 8\n";

fn read(text: &str) -> Result<Settings, SettingsError> {
    let mut file = tempfile::NamedTempFile::new().unwrap();
    file.write_all(text.as_bytes()).unwrap();
    Settings::read(file.path())
}

#[test]
fn valid_settings_are_read() {
    let settings = read(VALID).unwrap();
    assert_eq!(settings.leave.grace().as_secs(), 8);
    assert!(settings.storage.is_none() && settings.listen.readiness.is_none());
    let budget = settings.limits.memory_budget();
    assert_eq!(budget.max_runs(), 1_601, "of 256 megabytes");
    let shown = format!("{settings:?}");
    assert!(!shown.contains("sixteen bytes"), "the secret is not shown");
}

#[test]
fn errors_name_the_key_and_the_remedy() {
    let cases = [
        (
            "secret = 'sixteen bytes of secret'",
            "secret = 'short'",
            "cluster.secret",
            "16 random bytes",
        ),
        (
            "tolerated_disk_losses = 1",
            "tolerated_disk_losses = 4",
            "tolerated_disk_losses",
            "Set 0 to 3",
        ),
        (
            "grace_seconds = 8",
            "grace_seconds = 0.5",
            "leave.grace_seconds",
            "at least 1",
        ),
        (
            "history_seconds = 20",
            "history_seconds = 0",
            "objects.history_seconds",
            "at least 1",
        ),
        (
            "tolerated_disk_losses = 1",
            "catch_up_seconds = 0",
            "cluster.catch_up_seconds",
            "at least 1",
        ),
        (
            "[leave]",
            "[limits]\ndescriptors = 100\n[leave]",
            "limits.descriptors",
            "at least 128",
        ),
        (
            "history_seconds = 20",
            "leaving_bound_milliseconds = 100",
            "objects.leaving_bound_milliseconds",
            "at least 1000",
        ),
        (
            "history_seconds = 20",
            "configuration_bound_milliseconds = 0",
            "objects.configuration_bound_milliseconds",
            "at least 1000",
        ),
        (
            "[leave]",
            "[limits]\nmemory_megabytes = 8\n[leave]",
            "limits.memory_megabytes",
            "at least 16",
        ),
        ("name = 'n'", "name = ''", "name", "a name of its own"),
        (
            "callers = '127.0.0.1:1'",
            "callers = 'nowhere'",
            "callers",
            "Correct the key",
        ),
        (
            "zone = 'z'",
            "zone = 'z'\nplanet = 'p'",
            "planet",
            "Correct the key",
        ),
        ("region = 'r'\n", "", "region", "Correct the key"),
    ];
    for (valid, invalid, key, remedy) in cases {
        let error = read(&VALID.replace(valid, invalid))
            .unwrap_err()
            .to_string();
        assert!(error.contains(key), "{invalid}: {error}");
        assert!(error.contains(remedy), "{invalid}: {error}");
    }
}

#[test]
fn the_error_for_a_missing_file_names_it() {
    let error = Settings::read("/nowhere/node.toml".as_ref()).unwrap_err();
    assert!(error.to_string().contains("/nowhere/node.toml"));
}
