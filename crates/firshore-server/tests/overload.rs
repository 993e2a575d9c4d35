//! Limits, full back ends and draining ones, as callers and back ends see them.

mod support;

use firshore_server::shared::ConfigurationView;
use firshore_types::configuration::{Change, Configuration};
use firshore_types::ids::{ChangeId, Revision};
use firshore_types::validation::parse_declarations;
use std::sync::Arc;
use support::{BackEnd, Fixture, answer, completion, put};

const LLM_ANSWER: &str = "{\"choices\":[{\"text\":\"marker a b\"}]}";

fn engine(headers: &'static str) -> BackEnd {
    BackEnd::start(move |stream, _, _| {
        put(stream, &answer("200 OK", headers, LLM_ANSWER));
        true
    })
}

fn declare(fixture: &Fixture, text: &str) {
    let shared = &fixture.node().shared;
    let held = shared.configuration();
    let mut configuration = Configuration::clone(&held.configuration);
    let change = Change {
        revision: Revision(2),
        change_id: ChangeId::from("more"),
        author: "test".to_owned(),
        upserts: parse_declarations("test", text).unwrap(),
        removals: Vec::new(),
    };
    assert!(configuration.apply(&change));
    *shared.configuration.write() = Arc::new(ConfigurationView::new(configuration.into()));
}

#[test]
fn an_engine_that_says_it_drains_gets_nothing_more() {
    let leaving = engine("engine-state: draining\r\n");
    let staying = engine("engine-load: 1/0/16\r\n");
    let fixture = Fixture::start(&[leaving.address, staying.address], "");
    for _ in 0..40 {
        assert_eq!(fixture.ask(&completion("", false)).status(), 200);
    }
    assert_eq!(leaving.runs().len(), 1);
    assert_eq!(staying.runs().len(), 39);
}

#[test]
fn a_tenant_over_its_rate_is_refused_and_nothing_runs() {
    let engine = engine("");
    let fixture = Fixture::start(&[engine.address], "");
    let policy = "kind: Policy
metadata: {name: slow}
spec: {limits: {requestsPerSecond: 0.01}}
";
    declare(&fixture, policy);
    let mut answered = 0;
    let mut refused = 0;
    for _ in 0..10 {
        let reply = fixture.ask(&completion("", false));
        if reply.status() == 200 {
            answered += 1;
            continue;
        }
        assert_eq!(
            (reply.status(), reply.code().as_str()),
            (429, "rate_limited")
        );
        assert_eq!(reply.header("firshore-execution"), Some("none"));
        assert!(reply.header("retry-after").is_some());
        refused += 1;
    }
    assert_eq!(engine.runs().len(), answered);
    assert!(
        answered >= 1 && refused >= 7,
        "{answered} answered, {refused} refused"
    );
}

#[test]
fn a_request_waits_while_every_engine_is_full_until_its_deadline() {
    let engine = engine("engine-load: 40/0/2\r\n");
    let fixture = Fixture::start(&[engine.address], "");
    assert_eq!(fixture.ask(&completion("", false)).status(), 200);
    let reply = fixture.ask(&completion("firshore-timeout-seconds: 0.2\r\n", false));
    assert_eq!(reply.header("firshore-execution"), Some("none"));
    assert!([429, 504].contains(&reply.status()), "{}", reply.status());
    assert_eq!(engine.runs().len(), 1);
}
