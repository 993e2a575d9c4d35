//! Tests of the explanation of a request from several nodes' logs.

use firshore_node::explain::explain;

const FIRST: &str = concat!(
    r#"{"msg":"forward: Send ended.","level":"INFO","ts":"2026-01-01T00:00:02Z","node":"n1","request":"a1","end":"NotRun","sends":1}"#,
    "\n",
    "not a log line\n",
    r#"  12.5 n1 {"msg":"forward: Given up.","level":"INFO","ts":"2026-01-01T00:00:03Z","node":"n1","request":"a1","status":503}"#,
    "\n",
    r#"{"msg":"forward: Given up.","level":"INFO","ts":"2026-01-01T00:00:03Z","node":"n1","request":"a12"}"#,
    "\n",
);

const SECOND: &str = concat!(
    r#"{"msg":"runner: Run ended.","level":"INFO","ts":"2026-01-01T00:00:01Z","node":"n2","item":"a1","end":"Whole"}"#,
    "\n\n",
);

#[test]
fn lines_of_several_nodes_are_ordered_by_time() {
    let explanation = explain("a1", [FIRST.as_bytes(), SECOND.as_bytes()]).unwrap();
    let expected = [
        "2026-01-01T00:00:01Z n2 runner: Run ended. end=Whole item=a1",
        "2026-01-01T00:00:02Z n1 forward: Send ended. end=NotRun request=a1 sends=1",
        "2026-01-01T00:00:03Z n1 forward: Given up. request=a1 status=503",
    ];
    assert_eq!(explanation.lines, expected);
    assert_eq!(explanation.skipped, 1);
}

#[test]
fn an_unknown_identifier_lists_the_nodes_that_were_read() {
    let explanation = explain("b", [FIRST.as_bytes(), SECOND.as_bytes()]).unwrap();
    assert!(explanation.lines.is_empty());
    assert!(explanation.nodes.iter().eq(["n1", "n2"]));
}

#[test]
fn requests_with_the_same_fingerprint_are_included() {
    let line = |second: u8, node: &str, request: &str, fingerprint: &str| {
        format!(
            r#"{{"msg":"forward: Answer lost.","ts":"2026-01-01T00:00:0{second}Z","node":"{node}","request":"{request}","print":"{fingerprint}"}}"#
        ) + "\n"
    };
    let first = line(1, "n1", "a1", "p1") + &line(2, "n1", "a2", "p2");
    let second = line(3, "n2", "a3", "p1");
    let explanation = explain("a3", [first.as_bytes(), second.as_bytes()]).unwrap();
    let expected = [
        "2026-01-01T00:00:01Z n1 forward: Answer lost. print=p1 request=a1",
        "2026-01-01T00:00:03Z n2 forward: Answer lost. print=p1 request=a3",
    ];
    assert_eq!(explanation.lines, expected);
}
