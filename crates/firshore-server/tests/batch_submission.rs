//! Lines and headers of submitted jobs, and engines' answers to items.

use actix_http::header::{HeaderMap, HeaderName, HeaderValue};
use firshore_batch::command::Item;
use firshore_exchange::framing::BodyEnd;
use firshore_server::batch_runner::answer::{RunEnd, interpret};
use firshore_server::gateway::batches::lines::{LineLimits, LineReader};
use firshore_server::gateway::batches::submission::SubmissionHeaders;
use firshore_types::error::{ApiError, ErrorCode};
use std::time::Duration;

const LIMITS: LineLimits = LineLimits {
    line_bytes: 200,
    items: 3,
};

fn read(text: &str, piece: usize) -> Result<Vec<Item>, ApiError> {
    let mut reader = LineReader::new(LIMITS);
    let mut items = Vec::new();
    for bytes in text.as_bytes().chunks(piece) {
        items.extend(reader.push(bytes)?);
    }
    items.extend(reader.finish()?);
    Ok(items)
}

fn line(name: &str) -> String {
    format!(r#"{{"custom_id":"{name}","body":{{"model":"m","prompt":"p {name}"}}}}"#)
}

#[test]
fn lines_are_read_whatever_the_pieces_they_arrive_in() {
    let text = format!("{}\n\n  \n{}\r\n{}", line("a"), line("b"), line("c"));
    for piece in [1, 2, 7, 1000] {
        let items = read(&text, piece).expect("the lines are valid");
        let names: Vec<&str> = items.iter().map(|item| item.custom_id.as_str()).collect();
        assert_eq!(names, ["a", "b", "c"]);
        assert_eq!(items[1].body, r#"{"model":"m","prompt":"p b"}"#);
        assert!(items[1].repeatable);
    }
}

#[test]
fn invalid_lines_are_named() {
    let a = line("a");
    let cases = [
        (String::new(), ErrorCode::InvalidItem, "no items"),
        (format!("{a}\nnonsense"), ErrorCode::InvalidItem, "Line 2: "),
        (
            format!("{a}\n\n{a}"),
            ErrorCode::InvalidItem,
            "Line 3: custom_id 'a' stands twice",
        ),
        (
            r#"{"custom_id":"a"}"#.to_owned(),
            ErrorCode::InvalidItem,
            "Line 1: missing field `body`",
        ),
        (
            r#"{"custom_id":"a","body":{}}"#.to_owned(),
            ErrorCode::InvalidItem,
            "Line 1: body: missing field `model`",
        ),
        (
            r#"{"custom_id":"a","body":{"model":"m","stream":true}}"#.to_owned(),
            ErrorCode::InvalidItem,
            "stream",
        ),
        (
            r#"{"custom_id":"a","url":"/v1/other","body":{"model":"m"}}"#.to_owned(),
            ErrorCode::InvalidItem,
            "Line 1: url must be one of",
        ),
        (
            r#"{"custom_id":"a","method":"GET","body":{"model":"m"}}"#.to_owned(),
            ErrorCode::InvalidItem,
            "method must be POST",
        ),
        (
            format!("{a}\n{}", r#"{"custom_id":"b","body":{"model":"n"}}"#),
            ErrorCode::InvalidItem,
            "Line 2: model differs",
        ),
        (
            format!("{a}\n{}\n{}\n{}", line("b"), line("c"), line("d")),
            ErrorCode::TooLarge,
            "more than 3 items",
        ),
        (
            format!("{a}\n{}", "x".repeat(300)),
            ErrorCode::TooLarge,
            "Line 2 exceeds 200 bytes",
        ),
    ];
    for (text, code, part) in cases {
        let error = read(&text, 50).expect_err(&text);
        assert_eq!(error.code, code, "{text}");
        assert!(error.message.contains(part), "{} / {part}", error.message);
    }
}

#[test]
fn headers_of_a_submission() {
    let read = |pairs: &[(&str, &str)]| {
        SubmissionHeaders::read(|name| {
            let found = pairs.iter().find(|(key, _)| *key == name);
            found.map(|(_, value)| (*value).to_owned())
        })
    };
    let key = ("idempotency-key", "nightly-1");
    let whole = read(&[
        key,
        ("firshore-labels", "class=nightly, team = fieldline"),
        ("firshore-completion-window", "24h"),
        ("firshore-retention", "2d"),
    ]);
    let whole = whole.expect("the headers are valid");
    assert_eq!(whole.labels.get("team"), Some("fieldline"));
    assert_eq!(whole.completion_window, Some(Duration::from_secs(86_400)));
    assert_eq!(whole.retention, Duration::from_secs(172_800));
    assert!(read(&[key]).is_ok());
    for bad in [
        vec![],
        vec![("idempotency-key", "")],
        vec![key, ("firshore-labels", "nightly")],
        vec![key, ("firshore-completion-window", "soon")],
        vec![key, ("firshore-retention", "31d")],
    ] {
        let error = read(&bad).expect_err("a header is invalid");
        assert_eq!(error.code, ErrorCode::InvalidHeader);
    }
}

#[test]
fn answers_of_engines() {
    let cases = [
        (200, "", r#"{"a":1}"#, "done"),
        (400, "", r#"{"error":"prompt"}"#, "done"),
        (400, "none", r#"{"error":"too long"}"#, "done"),
        (200, "", "no json", "done"),
        (503, "none", "{}", "not run"),
        (503, "preempted", r#"{"resume_from":3}"#, "preempted"),
        (409, "cancelled", "{}", "stopped"),
        (503, "", "{}", "lost"),
        (500, "", "{}", "lost"),
        (429, "", "{}", "lost"),
    ];
    for (status, execution, body, expected) in cases {
        let mut headers = HeaderMap::new();
        if !execution.is_empty() {
            let name = HeaderName::from_static("engine-execution");
            headers.insert(name, HeaderValue::from_static(execution));
        }
        let end = interpret(status, &headers, BodyEnd::Delimited, body.as_bytes());
        let kind = match &end {
            RunEnd::Done(result) => {
                let json = serde_json::from_str::<serde_json::Value>(&result.body);
                assert!(json.is_ok(), "results are JSON");
                "done"
            }
            RunEnd::Preempted => "preempted",
            RunEnd::Stopped => "stopped",
            RunEnd::NotRun => "not run",
            RunEnd::Lost => "lost",
        };
        assert_eq!(kind, expected, "{status} {execution}");
    }
}

#[test]
fn a_body_that_only_the_close_ended_became_a_result() {
    let body = br#"{"choices":[{"text":"a"#;
    let end = interpret(200, &HeaderMap::new(), BodyEnd::ByClose, body);
    assert_eq!(end, RunEnd::Lost);
}
