//! Settings files: each unusable one is refused with its key and the remedy.

use firshore_server::settings::Settings;
use std::path::Path;

const VALID: &str = r#"
name = "node-1"
region = "bc-south"
zone = "kelowna"

[listen]
callers = "127.0.0.1:8080"
peers = "127.0.0.1:7080"
admin = "127.0.0.1:9080"

[cluster]
secret = "0123456789abcdef"
seeds = ["127.0.0.1:7081"]

[platform]
object_api = "http://127.0.0.1:6000"
machine_list = "http://127.0.0.1:6000"

[storage]
data_folder = "data"

[log]
format = "text"
level = "info"

[limits]
workers = 2
"#;

struct Case {
    line: &'static str,
    replacement: &'static str,
    /// What the message must contain.
    parts: &'static [&'static str],
}

fn read(text: &str) -> Result<Settings, String> {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("node.toml");
    std::fs::write(&path, text).unwrap();
    Settings::read(&path).map_err(|error| error.to_string())
}

const fn case(
    line: &'static str,
    replacement: &'static str,
    parts: &'static [&'static str],
) -> Case {
    Case {
        line,
        replacement,
        parts,
    }
}

const CASES: &[Case] = &[
    case(r#"name = "node-1""#, "", &["name", "docs/REFERENCE.md"]),
    case(
        r#"name = "node-1""#,
        r#"name = """#,
        &["Setting name = ''", "Use letters"],
    ),
    case(
        r#"name = "node-1""#,
        "name = \"node-1\"\nrole = \"gateway\"",
        &["unknown field `role`", "docs/REFERENCE.md"],
    ),
    case(r#"zone = "kelowna""#, "", &["zone"]),
    case(
        r#"callers = "127.0.0.1:8080""#,
        r#"callers = "localhost:8080""#,
        &["callers", "socket address"],
    ),
    case(
        r#"admin = "127.0.0.1:9080""#,
        "admin = \"127.0.0.1:9080\"\npublic = \"0.0.0.0:80\"",
        &["unknown field `public`"],
    ),
    case(
        r#"secret = "0123456789abcdef""#,
        r#"secret = "short-secret""#,
        &["cluster.secret", "at least 16 random bytes"],
    ),
    case(
        r#"seeds = ["127.0.0.1:7081"]"#,
        r#"seeds = "127.0.0.1:7081""#,
        &["seeds", "sequence"],
    ),
    case(
        r#"object_api = "http://127.0.0.1:6000""#,
        r#"object_api = "127.0.0.1:6000""#,
        &["platform.object_api", "127.0.0.1:6000", "http://IP:PORT"],
    ),
    case(
        r#"machine_list = "http://127.0.0.1:6000""#,
        r#"machine_list = "https://list""#,
        &["platform.machine_list", "https://list", "http://IP:PORT"],
    ),
    case(
        r#"data_folder = "data""#,
        r#"folder = "data""#,
        &["unknown field `folder`", "data_folder"],
    ),
    case(
        r#"format = "text""#,
        r#"format = "xml""#,
        &["unknown variant `xml`", "json"],
    ),
    case(
        r#"level = "info""#,
        r#"level = "loud""#,
        &["unknown variant `loud`", "warning"],
    ),
    case(
        r#"zone = "kelowna""#,
        r#"zone = "kelowna north""#,
        &["Setting zone = 'kelowna north'", "Use letters"],
    ),
    case(
        r#"admin = "127.0.0.1:9080""#,
        r#"admin = "127.0.0.1:7080""#,
        &["listen.admin", "127.0.0.1:7080", "a port of its own"],
    ),
    case(
        r#"object_api = "http://127.0.0.1:6000""#,
        r#"object_api = "http://objects:6000""#,
        &["platform.object_api", "http://IP:PORT"],
    ),
    case(
        "workers = 2",
        "batch_items = 0",
        &["limits.batch_items", "Set at least 1."],
    ),
    case(
        "workers = 2",
        "workers = 0",
        &["limits.workers", "Set at least 1."],
    ),
    case("workers = 2", "workers = -1", &["workers", "invalid value"]),
    case("workers = 2", "worker = 2", &["unknown field `worker`"]),
];

#[test]
fn the_valid_file_is_read() {
    let settings = read(VALID).unwrap();
    assert_eq!(settings.name.as_str(), "node-1");
    assert_eq!(settings.cluster.seeds.len(), 1);
    assert!(settings.storage.is_some());
}

#[test]
fn each_unusable_file_is_refused_by_key_and_remedy() {
    for case in CASES {
        assert!(VALID.contains(case.line), "{}", case.line);
        let message = read(&VALID.replace(case.line, case.replacement))
            .err()
            .unwrap_or_else(|| panic!("'{}' was accepted", case.replacement));
        for part in case.parts {
            assert!(
                message.contains(part),
                "'{part}' is not in the message for '{}': {message}",
                case.replacement
            );
        }
    }
}

#[test]
fn a_short_secret_is_not_repeated_in_the_message() {
    let message = read(&VALID.replace("0123456789abcdef", "short-secret")).unwrap_err();
    assert!(!message.contains("short-secret"), "{message}");
}

#[test]
fn a_missing_file_is_named_with_the_remedy() {
    let error = Settings::read(Path::new("no-such-node.toml")).unwrap_err();
    let message = error.to_string();
    assert!(message.contains("no-such-node.toml"), "{message}");
    assert!(message.contains("--settings"), "{message}");
}

#[test]
fn storage_log_and_limits_may_be_left_out() {
    let end = VALID.find("[storage]").unwrap();
    let settings = read(&VALID[..end]).unwrap();
    assert!(settings.storage.is_none());
    assert_eq!(settings.limits.batch_items, 400_000);
}

#[test]
fn printed_settings_hide_the_secret() {
    let printed = format!("{:?}", read(VALID).unwrap());
    assert!(printed.contains("127.0.0.1:7081"), "{printed}");
    assert!(!printed.contains("0123456789abcdef"), "{printed}");
}

#[test]
fn the_quickstart_files_are_read() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/quickstart");
    let mut names = std::collections::BTreeSet::new();
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path
            .extension()
            .is_some_and(|extension| extension == "toml")
        {
            let settings = Settings::read(&path).unwrap_or_else(|error| panic!("{error}"));
            assert!(names.insert(settings.name.0), "{}", path.display());
        }
    }
    assert!(names.len() >= 3, "{names:?}");
}
