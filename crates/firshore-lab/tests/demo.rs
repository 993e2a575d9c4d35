//! The demonstration as a process, with both shipped topologies.

use firshore_lab::http::Call;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Command, Stdio};

/// Address, key and body of the curl line that the demonstration prints.
struct CurlLine {
    address: SocketAddr,
    path: String,
    key: String,
    body: String,
}

fn between<'a>(text: &'a str, start: &str, end: &str) -> &'a str {
    let (_, rest) = text.split_once(start).unwrap();
    rest.split_once(end).unwrap().0
}

fn parse(line: &str) -> CurlLine {
    let url = between(line, "http://", " ");
    let (address, path) = url.split_once('/').unwrap();
    CurlLine {
        address: address.parse().unwrap(),
        path: format!("/{path}"),
        key: between(line, "Bearer ", "'").to_owned(),
        body: between(line, "-d '", "'").to_owned(),
    }
}

async fn ask(line: &str) {
    let curl = parse(line);
    let call = Call::post(curl.address, &curl.path, curl.body).key(&curl.key);
    let answer = call.send().await.unwrap();
    assert_eq!(answer.status(), 200, "{}", answer.text());
    let text = answer.text();
    assert!(text.trim_end().ends_with("data: [DONE]"), "{text}");
    assert!(text.contains("question "), "{text}");
}

fn demonstrate(topology: &str) {
    let folder = format!("{}/../../examples/{topology}", env!("CARGO_MANIFEST_DIR"));
    let mut child = Command::new(env!("CARGO_BIN_EXE_firshore-lab"))
        .args(["demo", "--seconds", "4", "--topology", &folder])
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut lines = Vec::new();
    for line in BufReader::new(child.stdout.take().unwrap()).lines() {
        let line = line.unwrap();
        if line.trim_start().starts_with("curl ") {
            actix_rt::System::new().block_on(ask(&line));
        }
        lines.push(line);
    }
    let status = child.wait().unwrap();
    let text = lines.join("\n");
    assert_eq!(status.code(), Some(0), "{text}");
    for part in [
        "curl -N http://",
        "requests ",
        "first token p50 ",
        "batch items completed ",
        "promises broken 0",
    ] {
        assert!(text.contains(part), "'{part}' is missing in\n{text}");
    }
}

#[test]
fn fieldline_keeps_its_promises() {
    demonstrate("fieldline");
}

#[test]
fn blue_mahoe_keeps_its_promises() {
    demonstrate("blue-mahoe");
}

#[test]
fn wrong_use_is_told_from_failure() {
    let run = |words: &[&str]| {
        let output = Command::new(env!("CARGO_BIN_EXE_firshore-lab"))
            .args(words)
            .output()
            .unwrap();
        output.status.code()
    };
    assert_eq!(run(&["demo", "--no-such-flag"]), Some(2));
    assert_eq!(run(&["demo", "--topology", "no-such-folder"]), Some(1));
    assert_eq!(run(&["--help"]), Some(0));
}
