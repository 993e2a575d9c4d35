//! The engine stand-in's HTTP interface, as docs/design/engine-model.md gives it.

use actix_http::Method;
use firshore_lab::engine_model::{EngineSettings, Outcome};
use firshore_lab::http::Call;
use firshore_lab::stand_in::engine::{self, EngineOptions, ExecutionLine};
use firshore_lab::stand_in::server::Server;
use firshore_lab::stand_in::weight_store::{self, WeightStoreSettings};
use serde_json::{Value, json};
use std::future::Future;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const PATIENCE: Duration = Duration::from_secs(20);

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn start(slots: u32, time_scale: f64) -> Server {
    let settings = EngineSettings {
        slots,
        time_scale,
        model_load: 200_000,
        ..EngineSettings::default()
    };
    let options = EngineOptions {
        settings,
        ..EngineOptions::default()
    };
    engine::start_with(any_port(), "engine", options).unwrap()
}

fn completion(engine: &Server, id: &str, priority: u16, tokens: u32, stream: bool) -> Call {
    let body = json!({"model": "m", "prompt": format!("{id} two three"), "max_tokens": tokens,
        "stream": stream});
    Call::post(engine.address, "/v1/completions", body.to_string())
        .header("engine-request-id", id)
        .header("engine-priority", &priority.to_string())
}

async fn executions(engine: &Server) -> Vec<ExecutionLine> {
    let answer = Call::get(engine.address, "/executions").send().await;
    answer.unwrap().json().unwrap()
}

async fn faults(engine: &Server, faults: Value) {
    let call = Call::post(engine.address, "/faults", faults.to_string());
    assert_eq!(call.send().await.unwrap().status(), 200);
}

async fn until<F: Future<Output = bool>>(what: &str, mut condition: impl FnMut() -> F) {
    let deadline = Instant::now() + PATIENCE;
    while !condition().await {
        assert!(Instant::now() < deadline, "not in time: {what}");
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
}

async fn ends_with(engine: &Server, id: &str, outcome: Outcome) {
    until(&format!("{id} {outcome:?}"), || async {
        let lines = executions(engine).await;
        let last = lines.iter().rfind(|line| line.request_id == id);
        last.is_some_and(|line| line.outcome == outcome)
    })
    .await;
}

#[actix_rt::test]
async fn answers_repeat_the_prompt_whole_and_streamed() {
    let engine = start(4, 0.02);
    let whole = completion(&engine, "a", 200, 4, false)
        .send()
        .await
        .unwrap();
    let body: Value = whole.json().unwrap();
    assert_eq!(body["choices"][0]["text"], "a two three a ");
    assert_eq!(whole.header("engine-load"), "0/0/4");
    let streamed = completion(&engine, "b", 200, 2, true).send().await.unwrap();
    assert_eq!(
        streamed.text(),
        "id: 0\ndata: {\"choices\":[{\"index\":0,\"text\":\"b \"}]}\n\n\
         id: 1\ndata: {\"choices\":[{\"index\":0,\"text\":\"two \"}]}\n\ndata: [DONE]\n\n"
    );
    let chat = json!({"messages": [{"role": "user", "content": "hello you"}], "max_tokens": 2});
    let chat = Call::post(engine.address, "/v1/chat/completions", chat.to_string());
    let body: Value = chat.send().await.unwrap().json().unwrap();
    assert_eq!(body["choices"][0]["message"]["content"], "hello you ");
    engine.stop();
}

#[actix_rt::test]
async fn a_preempted_item_says_where_to_resume() {
    let engine = start(1, 0.2);
    let mut item = completion(&engine, "item", 3, 5000, true)
        .open()
        .await
        .unwrap();
    let question = completion(&engine, "question", 200, 2, false).send();
    assert_eq!(question.await.unwrap().status(), 200);
    let text = item.body.read_whole(1 << 20).await.unwrap();
    let text = String::from_utf8(text.to_vec()).unwrap();
    let (_, end) = text.split_once("event: preempted\ndata: ").unwrap();
    let end: Value = serde_json::from_str(end.trim()).unwrap();
    let offset = end["offset"].as_u64().unwrap();
    let resumed = completion(&engine, "item", 3, offset as u32 + 1, true)
        .header("engine-resume-from", &offset.to_string());
    let text = resumed.send().await.unwrap().text();
    assert!(text.starts_with(&format!("id: {offset}\n")), "{text}");
    let waiting = actix_rt::spawn(completion(&engine, "whole", 3, 5000, false).send());
    ends_with(&engine, "whole", Outcome::Running).await;
    completion(&engine, "again", 200, 1, false)
        .send()
        .await
        .unwrap();
    let preempted = waiting.await.unwrap().unwrap();
    assert_eq!(preempted.status(), 503);
    assert_eq!(preempted.header("engine-execution"), "preempted");
    assert!(preempted.json::<Value>().unwrap()["resume_from"].is_u64());
    engine.stop();
}

#[actix_rt::test]
async fn a_caller_that_leaves_cancels_its_run() {
    let engine = start(4, 1.0);
    let streamed = completion(&engine, "streamed", 200, 5000, true)
        .open()
        .await;
    ends_with(&engine, "streamed", Outcome::Running).await;
    drop(streamed);
    ends_with(&engine, "streamed", Outcome::Cancelled).await;
    let whole = actix_rt::spawn(completion(&engine, "whole", 200, 5000, false).send());
    ends_with(&engine, "whole", Outcome::Running).await;
    whole.abort();
    ends_with(&engine, "whole", Outcome::Cancelled).await;
    let ordered = actix_rt::spawn(completion(&engine, "ordered", 200, 5000, false).send());
    ends_with(&engine, "ordered", Outcome::Running).await;
    let cancel = Call::new(engine.address, Method::DELETE, "/v1/requests/ordered");
    assert_eq!(cancel.send().await.unwrap().text(), "{\"cancelled\":true}");
    let answer = ordered.await.unwrap().unwrap();
    assert_eq!(answer.header("engine-execution"), "cancelled");
    engine.stop();
}

#[actix_rt::test]
async fn a_stream_that_broke_off_resumes_and_answers_can_be_lost() {
    let engine = start(4, 0.05);
    faults(&engine, json!({"break_after_tokens": 3, "break_count": 1})).await;
    let broken = completion(&engine, "a", 200, 6, true).send().await;
    assert!(broken.is_err());
    let resumed = completion(&engine, "a", 200, 6, true).header("engine-resume-from", "3");
    let text = resumed.send().await.unwrap().text();
    assert!(
        text.starts_with("id: 3\n") && text.ends_with("[DONE]\n\n"),
        "{text}"
    );
    faults(&engine, json!({"lose_answers": 1})).await;
    assert!(
        completion(&engine, "b", 200, 2, false)
            .send()
            .await
            .is_err()
    );
    ends_with(&engine, "b", Outcome::Completed).await;
    assert!(completion(&engine, "c", 200, 2, false).send().await.is_ok());
    engine.stop();
}

#[actix_rt::test]
async fn refusals_say_that_nothing_ran() {
    let engine = start(4, 0.05);
    for (fault, code) in [("draining", "draining"), ("refuse", "ordered")] {
        faults(&engine, json!({fault: true})).await;
        let refused = completion(&engine, code, 200, 2, false)
            .send()
            .await
            .unwrap();
        assert_eq!(refused.status(), 503);
        assert_eq!(refused.header("engine-execution"), "none");
        assert_eq!(refused.header("engine-refusal"), code);
        let draining = refused.header("engine-state") == "draining";
        assert_eq!(draining, fault == "draining");
        ends_with(&engine, code, Outcome::Refused).await;
    }
    let malformed = Call::post(engine.address, "/v1/completions", "{");
    assert_eq!(malformed.send().await.unwrap().status(), 400);
    engine.stop();
}

#[actix_rt::test]
async fn orders_are_fenced_and_loads_wait_for_the_weight_store() {
    let limit = WeightStoreSettings {
        burst: 1,
        loads_per_second: 4.0,
    };
    let store = weight_store::start(any_port(), limit).unwrap();
    let options = EngineOptions {
        settings: EngineSettings {
            model_load: 50_000,
            load_lag: 0,
            load_interval: 1,
            ..EngineSettings::default()
        },
        weight_store: Some(store.address),
        ..EngineOptions::default()
    };
    let engine = engine::start_with(any_port(), "engine", options).unwrap();
    let order = |term: u64, sequence: u64, model: &str| {
        let body = json!({"fence": {"term": term, "sequence": sequence},
            "order": {"kind": "load_model", "model": model, "version": "1"}});
        Call::post(engine.address, "/orders", body.to_string()).send()
    };
    assert_eq!(order(2, 1, "m").await.unwrap().status(), 200);
    assert_eq!(order(2, 2, "n").await.unwrap().status(), 200);
    let stale = order(1, 9, "x").await.unwrap();
    assert_eq!(stale.status(), 409);
    let held: Value = stale.json().unwrap();
    assert_eq!(held["fence"], json!({"term": 2, "sequence": 2}));
    until("both models loaded", || async {
        let load = Call::get(engine.address, "/load").send().await.unwrap();
        load.json::<Value>().unwrap()["models"] == json!(["m", "n"])
    })
    .await;
    let granted = Call::get(store.address, "/loads").send().await.unwrap();
    assert_eq!(granted.text(), "[\"engine\",\"engine\"]");
    engine.stop();
    store.stop();
}
