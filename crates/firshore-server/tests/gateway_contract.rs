//! What callers get whatever back ends do: a real node between raw sockets.

mod support;

use std::net::SocketAddr;
use support::{
    BackEnd, DONE, Fixture, KEY, RefusingAddress, STREAM_HEAD, answer, chunk, completion,
    completion_of, event, events, put, request,
};

const LLM_ANSWER: &str = "{\"choices\":[{\"text\":\"marker a b\"}]}";

fn whole() -> String {
    answer("200 OK", "content-type: application/json\r\n", LLM_ANSWER)
}

fn stream(text: &str) -> String {
    format!("{STREAM_HEAD}{}0\r\n\r\n", chunk(text))
}

fn addresses(back_ends: &[&BackEnd]) -> Vec<SocketAddr> {
    back_ends.iter().map(|one| one.address).collect()
}

/// Plays the answers in turn, the last one for ever, and closes after each.
fn scripted(answers: &'static [&'static str]) -> BackEnd {
    BackEnd::start(move |stream, _, number| {
        let text = answers[number.min(answers.len() - 1)];
        put(stream, text);
        false
    })
}

#[test]
fn bad_input_is_refused_with_one_error_body_and_nothing_runs() {
    let engine = BackEnd::start(|stream, _, _| {
        put(stream, &whole());
        true
    });
    let fixture = Fixture::start(&[engine.address], "request_body_bytes = 1000");
    let post = "POST /v1/completions";
    let good = "{\"model\":\"boundary-llm\",\"prompt\":\"a\"}";
    let unauthorized = completion("", false).replace(KEY, "another-key");
    let no_key = completion("", false).replace("authorization", "x-authorization");
    let rows: Vec<(&str, String, u16, &str)> = vec![
        ("no key", no_key, 401, "unauthorized"),
        ("unknown key", unauthorized, 401, "unauthorized"),
        ("no JSON", request(post, "", "{{"), 400, "invalid_request"),
        (
            "no model",
            request(post, "", "{\"prompt\":\"a\"}"),
            400,
            "invalid_request",
        ),
        (
            "a model that is no text",
            request(post, "", "{\"model\":7}"),
            400,
            "invalid_request",
        ),
        (
            "unknown model",
            request(post, "", "{\"model\":\"x\"}"),
            404,
            "unknown_model",
        ),
        ("unknown path", request("GET /v2", "", ""), 404, "not_found"),
        (
            "unknown service",
            request("GET /services/x/y", "", ""),
            404,
            "not_found",
        ),
        (
            "wrong method",
            request("GET /v1/completions", "", ""),
            405,
            "method_not_allowed",
        ),
        (
            "body too long",
            request(post, "", &"x".repeat(1001)),
            413,
            "too_large",
        ),
        (
            "repeatable unknown",
            request(post, "firshore-repeatable: maybe\r\n", good),
            400,
            "invalid_header",
        ),
        (
            "timeout no number",
            request(post, "firshore-timeout-seconds: soon\r\n", good),
            400,
            "invalid_header",
        ),
        (
            "timeout not positive",
            request(post, "firshore-timeout-seconds: -1\r\n", good),
            400,
            "invalid_header",
        ),
        (
            "timeout no time",
            request(post, "firshore-timeout-seconds: nan\r\n", good),
            400,
            "invalid_header",
        ),
        (
            "key empty",
            request(post, "idempotency-key: \r\n", good),
            400,
            "invalid_header",
        ),
        (
            "key too long",
            request(
                post,
                &format!("idempotency-key: {}\r\n", "k".repeat(256)),
                good,
            ),
            400,
            "invalid_header",
        ),
        (
            "two keys",
            request(post, "idempotency-key: a\r\nidempotency-key: b\r\n", good),
            400,
            "invalid_header",
        ),
        (
            "batch without key",
            request("POST /v1/batches", "", "{}"),
            400,
            "invalid_header",
        ),
    ];
    for (name, request, status, code) in rows {
        let reply = fixture.ask(&request);
        assert_eq!(reply.status(), status, "{name}: {reply:?}");
        assert_eq!(reply.code(), code, "{name}");
        assert_eq!(reply.header("firshore-execution"), Some("none"), "{name}");
    }
    // What is no HTTP is refused by the library, with a status only.
    let rows = [
        ("no HTTP", "garbage\r\n\r\n".to_owned()),
        ("no host", "GET /v1/completions HTTP/1.1\r\n\r\n".to_owned()),
        ("two lengths", request(post, "content-length: 1\r\n", good)),
        (
            "length and chunks",
            request(post, "transfer-encoding: chunked\r\n", good),
        ),
    ];
    for (name, request) in rows {
        let reply = fixture.ask(&request);
        assert_eq!(reply.status(), 400, "{name}: {reply:?}");
    }
    assert_eq!(engine.runs().len(), 0);
    assert_eq!(
        fixture.ask(&completion("", false)).status(),
        200,
        "still serves"
    );
}

/// One row of the table of failures: what two engines do in turn, and what must come of it.
struct Failure {
    name: &'static str,
    script: &'static [&'static str],
    headers: &'static str,
    status: u16,
    execution: Option<&'static str>,
    runs: usize,
}

const OK: &str = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: 38\r\n\r\n{\"choices\":[{\"text\":\"marker a b c d\"}]}";
const REFUSED: &str =
    "HTTP/1.1 503 Service Unavailable\r\nengine-execution: none\r\ncontent-length: 0\r\n\r\n";
const FAILED: &str = "HTTP/1.1 500 Internal Server Error\r\ncontent-length: 0\r\n\r\n";
const CUT_BODY: &str = "HTTP/1.1 200 OK\r\ncontent-length: 38\r\n\r\n{\"choices\":[{\"te";
const CUT_CHUNKS: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\n{\"cho\r\n";
const BY_CLOSE: &str = "HTTP/1.1 200 OK\r\n\r\n{\"choices\":[{\"text\":\"marker a\"}]}";
const INVALID: &str =
    "HTTP/1.1 400 Bad Request\r\nengine-execution: none\r\ncontent-length: 8\r\n\r\ntoo long";
const NOT_REPEATABLE: &str = "firshore-repeatable: no\r\n";

#[test]
fn each_failure_of_an_engine_has_its_answer() {
    let rows = [
        Failure {
            name: "refused, then run",
            script: &[REFUSED, OK],
            headers: "",
            status: 200,
            execution: None,
            runs: 2,
        },
        Failure {
            name: "refused, then run, not repeatable",
            script: &[REFUSED, OK],
            headers: NOT_REPEATABLE,
            status: 200,
            execution: None,
            runs: 2,
        },
        Failure {
            name: "refused by all",
            script: &[REFUSED],
            headers: "",
            status: 429,
            execution: Some("none"),
            runs: 2,
        },
        Failure {
            name: "closed with the request, then run",
            script: &["", OK],
            headers: "",
            status: 200,
            execution: None,
            runs: 2,
        },
        Failure {
            name: "closed with the request, not repeatable",
            script: &["", OK],
            headers: NOT_REPEATABLE,
            status: 502,
            execution: Some("unknown"),
            runs: 1,
        },
        Failure {
            name: "cut off, then run",
            script: &[CUT_BODY, OK],
            headers: "",
            status: 200,
            execution: None,
            runs: 2,
        },
        Failure {
            name: "cut off, not repeatable",
            script: &[CUT_BODY, OK],
            headers: NOT_REPEATABLE,
            status: 502,
            execution: Some("unknown"),
            runs: 1,
        },
        Failure {
            name: "cut off by all",
            script: &[CUT_BODY],
            headers: "",
            status: 502,
            execution: Some("unknown"),
            runs: 2,
        },
        Failure {
            name: "cut between chunks by all",
            script: &[CUT_CHUNKS],
            headers: "",
            status: 502,
            execution: Some("unknown"),
            runs: 2,
        },
        Failure {
            name: "end marked by close only",
            script: &[BY_CLOSE],
            headers: "",
            status: 502,
            execution: Some("unknown"),
            runs: 2,
        },
        Failure {
            name: "failed, then run",
            script: &[FAILED, OK],
            headers: "",
            status: 200,
            execution: None,
            runs: 2,
        },
        Failure {
            name: "failed, not repeatable",
            script: &[FAILED, OK],
            headers: NOT_REPEATABLE,
            status: 502,
            execution: Some("unknown"),
            runs: 1,
        },
        Failure {
            name: "lost, then refused",
            script: &["", REFUSED],
            headers: "",
            status: 429,
            execution: Some("unknown"),
            runs: 2,
        },
        Failure {
            name: "found wrong by the engine",
            script: &[INVALID, OK],
            headers: "",
            status: 400,
            execution: Some("none"),
            runs: 1,
        },
    ];
    for row in rows {
        let script = row.script;
        let turn = std::sync::Arc::new(std::sync::atomic::AtomicUsize::new(0));
        let engines: Vec<BackEnd> = (0..2)
            .map(|_| {
                let turn = turn.clone();
                BackEnd::start(move |stream, _, _| {
                    let number = turn.fetch_add(1, std::sync::atomic::Ordering::SeqCst);
                    put(stream, script[number.min(script.len() - 1)]);
                    false
                })
            })
            .collect();
        let fixture = Fixture::start(&addresses(&[&engines[0], &engines[1]]), "");
        let reply = fixture.ask(&completion(row.headers, false));
        assert_eq!(reply.status(), row.status, "{}: {reply:?}", row.name);
        let runs: usize = engines.iter().map(|engine| engine.runs().len()).sum();
        assert_eq!(runs, row.runs, "{}: runs", row.name);
        if let Some(execution) = row.execution {
            assert!(!reply.code().is_empty(), "{}", row.name);
            assert_eq!(
                reply.header("firshore-execution"),
                Some(execution),
                "{}",
                row.name
            );
        }
        if matches!(row.status, 429 | 502) {
            assert!(reply.header("retry-after").is_some(), "{}", row.name);
        }
    }
}

#[test]
fn engines_that_cannot_be_reached_cost_nothing_but_a_try() {
    let refusing = RefusingAddress::take();
    let gone = refusing.address;
    let engine = BackEnd::start(|stream, _, _| {
        put(stream, &whole());
        true
    });
    let fixture = Fixture::start(&[gone, engine.address], "");
    for _ in 0..5 {
        assert_eq!(
            fixture.ask(&completion(NOT_REPEATABLE, false)).status(),
            200
        );
    }
    let fixture = Fixture::start(&[gone], "");
    let reply = fixture.ask(&completion("", false));
    assert_eq!((reply.status(), reply.code().as_str()), (503, "no_backend"));
    assert_eq!(reply.header("firshore-execution"), Some("none"));
    assert!(reply.header("retry-after").is_some());
}

#[test]
fn an_engine_that_stops_answering_is_given_up_for_another() {
    // Connections are taken by the kernel, and nobody ever answers on them.
    let paused = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let engine = BackEnd::start(|stream, _, _| {
        put(stream, &whole());
        true
    });
    let fixture = Fixture::start(&[paused.local_addr().unwrap(), engine.address], "");
    for _ in 0..2 {
        assert_eq!(fixture.ask(&completion("", false)).status(), 200);
    }
    let fixture = Fixture::start(&[paused.local_addr().unwrap()], "");
    let headers = "firshore-repeatable: no\r\nfirshore-timeout-seconds: 1\r\n";
    let reply = fixture.ask(&completion(headers, false));
    assert_eq!(reply.status(), 504, "waits until its deadline");
}

/// Plays a stream that breaks at `cut` of the whole, then serves resumes.
fn breaking(cut: usize) -> BackEnd {
    BackEnd::start(move |stream, request, _| {
        let Some(from) = request.header("engine-resume-from") else {
            let text = events(0..5);
            put(stream, &format!("{STREAM_HEAD}{}", chunk(&text[..cut])));
            return false;
        };
        // An engine that repeats a token is forgiven.
        let from: u64 = from.parse().unwrap();
        let rest = events(from - 1..5) + DONE;
        put(stream, &format!("{STREAM_HEAD}{}0\r\n\r\n", chunk(&rest)));
        false
    })
}

#[test]
fn a_broken_stream_goes_on_at_its_next_token() {
    let length = event(0).len();
    for cut in [length, length + 3, 2 * length, 4 * length + 1, 5 * length] {
        let engine = breaking(cut);
        let fixture = Fixture::start(&[engine.address], "");
        let reply = fixture.ask(&completion("", true));
        assert_eq!(reply.chunks(), (events(0..5) + DONE, true), "cut at {cut}");
        let runs = engine.runs();
        assert_eq!(runs.len(), 2);
        let id = |number: usize| runs[number].header("engine-request-id").unwrap().to_owned();
        assert_eq!(id(0), id(1), "a resume names its run");
    }
}

#[test]
fn a_stream_that_cannot_go_on_ends_with_an_error_and_no_clean_end() {
    let broken = || format!("{STREAM_HEAD}{}", chunk(&events(0..2)));
    let preempted = "event: preempted\ndata: {\"offset\":2}\n\n";
    let rows: Vec<(&str, String, &str, usize)> = vec![
        ("refuses to resume", broken(), "", 2),
        (
            "refuses to resume a preempted run",
            stream(&(events(0..2) + preempted)),
            "",
            2,
        ),
        ("not repeatable", broken(), NOT_REPEATABLE, 1),
        (
            "a clean end without the terminal event",
            stream(&events(0..2)),
            "",
            2,
        ),
        (
            "tokens without numbers",
            format!("{STREAM_HEAD}{}", chunk("data: a\n\ndata: b\n\n")),
            "",
            1,
        ),
    ];
    for (name, text, headers, runs) in rows {
        let engine = BackEnd::start(move |stream, request, _| {
            if request.header("engine-resume-from").is_some() {
                put(stream, REFUSED);
            } else {
                put(stream, &text);
            }
            false
        });
        let fixture = Fixture::start(&[engine.address], "");
        let reply = fixture.ask(&completion(headers, true));
        let (body, proper) = reply.chunks();
        assert!(!proper, "{name}: {reply:?}");
        assert!(
            body.contains("event: error\ndata: {\"error\":{\"code\":\"backend_failed\""),
            "{name}: {reply:?}"
        );
        assert!(body.contains("\"execution\":\"unknown\""), "{name}");
        assert!(!body.contains("[DONE]"), "{name}");
        assert_eq!(engine.runs().len(), runs, "{name}: runs");
    }
}

#[test]
fn a_stream_that_broke_before_its_first_token_runs_elsewhere() {
    let first = scripted(&[STREAM_HEAD]);
    let second = scripted(&[STREAM_HEAD]);
    let good = BackEnd::start(|stream_, _, _| {
        put(stream_, &stream(&(events(0..2) + DONE)));
        false
    });
    // Whichever engine is chosen first, one retry must reach an answer or give an error.
    let fixture = Fixture::start(&addresses(&[&first, &good]), "");
    let mut served = 0;
    for _ in 0..10 {
        let (body, proper) = fixture.ask(&completion("", true)).chunks();
        assert!(proper == body.contains(DONE));
        served += usize::from(proper);
    }
    assert!(served >= 5, "served {served}");
    assert_eq!(second.runs().len(), 0);
}

#[test]
fn applications_are_passed_through_and_cut_answers_stay_cut() {
    let rows: [(&str, &'static str, u16, &str, bool); 5] = [
        (
            "whole",
            "HTTP/1.1 200 OK\r\nx-tile: 7\r\ncontent-length: 5\r\n\r\nhello",
            200,
            "hello",
            true,
        ),
        (
            "its own error",
            "HTTP/1.1 503 Service Unavailable\r\nx-tile: 7\r\ncontent-length: 4\r\n\r\nbusy",
            503,
            "busy",
            true,
        ),
        (
            "cut in a body with a length",
            "HTTP/1.1 200 OK\r\nx-tile: 7\r\ncontent-length: 9\r\n\r\nhello",
            200,
            "hello",
            false,
        ),
        (
            "cut between chunks",
            "HTTP/1.1 200 OK\r\nx-tile: 7\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n",
            200,
            "hello",
            false,
        ),
        (
            "end marked by close only",
            "HTTP/1.1 200 OK\r\nx-tile: 7\r\n\r\nhello",
            200,
            "hello",
            true,
        ),
    ];
    for (name, text, status, body, proper) in rows {
        let application = BackEnd::start(move |stream, _, _| {
            put(stream, text);
            false
        });
        let fixture = Fixture::start(&[application.address], "");
        let headers = "engine-priority: 255\r\nexpect-tile: 7\r\n";
        let reply = fixture.ask(&request("POST /services/tiles/a/b?c=d", headers, "body"));
        assert_eq!(reply.status(), status, "{name}: {reply:?}");
        assert_eq!(reply.header("x-tile"), Some("7"), "{name}");
        assert_eq!(reply.chunks(), (body.to_owned(), proper), "{name}");
        let unverified = reply.header("firshore-answer-end") == Some("unverified");
        assert_eq!(unverified, name.contains("close only"), "{name}");
        let seen = &application.runs()[0];
        assert!(
            seen.head.starts_with("post /a/b?c=d http/1.1"),
            "{name}: {seen:?}"
        );
        assert_eq!(seen.header("expect-tile"), Some("7"));
        assert_eq!(seen.header("engine-priority"), None, "{name}");
        assert_eq!(seen.header("authorization"), None, "{name}");
        assert_eq!(seen.body, "body");
    }
}

#[test]
fn a_passed_deadline_is_answered_at_once() {
    let engine = BackEnd::start(|_, _, _| {
        std::thread::sleep(support::PATIENCE);
        false
    });
    let fixture = Fixture::start(&[engine.address], "");
    let start = std::time::Instant::now();
    let reply = fixture.ask(&completion("firshore-timeout-seconds: 0.3\r\n", false));
    assert_eq!(
        (reply.status(), reply.code().as_str()),
        (504, "deadline_exceeded")
    );
    assert_eq!(reply.header("firshore-execution"), Some("unknown"));
    assert!(start.elapsed() < support::PATIENCE / 2);
    support::eventually("the run is cancelled", || {
        engine.was_cancelled(&engine.runs()[0])
    });
}

#[test]
fn a_key_runs_once_and_gives_its_answer_again() {
    let engine = BackEnd::start(|stream, _, _| {
        put(stream, &whole());
        true
    });
    let fixture = Fixture::start(&[engine.address], "");
    let headers = "firshore-repeatable: no\r\nidempotency-key: bill-7\r\n";
    for number in 0..3 {
        let reply = fixture.ask(&completion(headers, false));
        assert_eq!(reply.status(), 200, "{reply:?}");
        assert_eq!(reply.raw_body(), LLM_ANSWER);
        let replayed = reply.header("firshore-replayed") == Some("yes");
        assert_eq!(replayed, number > 0);
    }
    let reply = fixture.ask(&completion_of("other", headers, false));
    assert_eq!((reply.status(), reply.code().as_str()), (409, "conflict"));
    assert_eq!(engine.runs().len(), 1);
}

#[test]
fn a_key_is_free_again_only_if_its_request_certainly_did_not_run() {
    for (first, status, runs) in [(REFUSED, 200, 2), ("", 409, 1)] {
        let engine = BackEnd::start(move |stream, _, number| {
            put(stream, if number == 0 { first } else { OK });
            false
        });
        let fixture = Fixture::start(&[engine.address], "");
        let headers = "firshore-repeatable: no\r\nidempotency-key: bill-8\r\n";
        let reply = fixture.ask(&completion(headers, false));
        let execution = if first == REFUSED { "none" } else { "unknown" };
        assert_eq!(reply.header("firshore-execution"), Some(execution));
        let reply = fixture.ask(&completion(headers, false));
        assert_eq!(reply.status(), status, "{reply:?}");
        assert_eq!(engine.runs().len(), runs);
    }
}

#[test]
fn a_refusal_before_the_claim_is_looked_up_does_not_deny_an_earlier_run() {
    let engine = BackEnd::start(|stream, _, _| {
        put(stream, &whole());
        true
    });
    let fixture = Fixture::start(&[engine.address], "");
    let headers = "firshore-repeatable: no\r\nidempotency-key: bill-10\r\n";
    assert_eq!(fixture.ask(&completion(headers, false)).status(), 200);
    // The same request at a node that does not know the key's tenant or the model yet.
    let behind = completion(headers, false).replace(KEY, "another-key");
    let reply = fixture.ask(&behind);
    assert_eq!(reply.status(), 401);
    assert_eq!(reply.header("firshore-execution"), Some("unknown"));
    let behind = completion(headers, false).replace("boundary-llm", "boundary-lln");
    let reply = fixture.ask(&behind);
    assert_eq!(reply.status(), 404);
    assert_eq!(reply.header("firshore-execution"), Some("unknown"));
    let invalid = request("POST /v1/completions", headers, "{{");
    let reply = fixture.ask(&invalid);
    assert_eq!(reply.header("firshore-execution"), Some("none"));
}

#[test]
fn a_key_in_use_is_refused_while_its_request_runs_and_outlives_its_caller() {
    let (release, gate) = std::sync::mpsc::channel::<()>();
    let gate = std::sync::Mutex::new(gate);
    let engine = BackEnd::start(move |stream, _, _| {
        let _ = gate.lock().unwrap().recv();
        put(stream, &whole());
        true
    });
    let fixture = Fixture::start(&[engine.address], "");
    let headers = "firshore-repeatable: no\r\nidempotency-key: bill-9\r\n";
    let mut caller = fixture.connect();
    put(&mut caller, &completion(headers, false));
    support::eventually("the request runs", || engine.runs().len() == 1);
    drop(caller);
    let reply = fixture.ask(&completion(headers, false));
    assert_eq!((reply.status(), reply.code().as_str()), (409, "conflict"));
    assert_eq!(reply.header("firshore-execution"), Some("unknown"));
    assert!(reply.header("retry-after").is_some());
    std::thread::sleep(std::time::Duration::from_secs(1));
    assert!(!engine.was_cancelled(&engine.runs()[0]));
    release.send(()).unwrap();
    support::eventually("the answer is recorded", || {
        fixture.ask(&completion(headers, false)).status() == 200
    });
    assert_eq!(engine.runs().len(), 1);
}

#[test]
fn answer_with_an_odd_status_is_none() {
    for status in ["000", "099", "600", "999"] {
        let text = answer(&format!("{status} Odd"), "", LLM_ANSWER);
        let engine = BackEnd::start(move |stream, _, _| {
            put(stream, &text);
            false
        });
        let fixture = Fixture::start(&[engine.address], "");
        let asked = [
            completion("", false),
            completion("", true),
            request("POST /services/tiles/a", "", "body"),
        ];
        for request in asked {
            let reply = fixture.ask(&request);
            assert_eq!(reply.status(), 502, "{status}: {reply:?}");
            assert!(!reply.text.contains("marker"), "{status}: {reply:?}");
        }
        assert!(!engine.runs().is_empty(), "{status}");
    }
}
