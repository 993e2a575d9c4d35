//! At its most talkative, a node's log holds no bearer key, prompt, answer or secret.

use firshore_lab::fleet_of_one::FleetOfOne;
use firshore_lab::http::Call;
use parking_lot::Mutex;
use serde_json::json;
use slog::{Drain, Logger, o};
use std::io::{self, Write};
use std::sync::Arc;

const PROMPT: &str = "orchard-prompt-4711";
const WRONG_KEY: &str = "wrong-key-0815";
const SECRET: &str = "measurement-secret-only";

#[derive(Clone, Default)]
struct Captured(Arc<Mutex<Vec<u8>>>);

impl Write for Captured {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Captured {
    fn text(&self) -> String {
        String::from_utf8_lossy(&self.0.lock()).into_owned()
    }

    fn logger(&self) -> Logger {
        let decorator = slog_term::PlainSyncDecorator::new(self.clone());
        let drain = slog_term::FullFormat::new(decorator).build().fuse();
        Logger::root(drain, o!())
    }
}

fn completion(prompt: &str, stream: bool) -> String {
    json!({"model": FleetOfOne::MODEL, "prompt": prompt, "max_tokens": 3, "stream": stream})
        .to_string()
}

async fn exercise(fleet: &FleetOfOne) {
    let post = |path: &str, body: String| Call::post(fleet.callers(), path, body);
    let calls = [
        post("/v1/completions", completion(PROMPT, false)).key(FleetOfOne::KEY),
        post("/v1/completions", completion(PROMPT, true)).key(FleetOfOne::KEY),
        post("/v1/completions", completion(PROMPT, false)).key(WRONG_KEY),
        post("/v1/completions", format!("{{\"prompt\": \"{PROMPT}")).key(FleetOfOne::KEY),
        post(&format!("/services/nowhere/{PROMPT}"), PROMPT.to_owned()).key(FleetOfOne::KEY),
        post("/v1/batches", format!("{{\"custom_id\": \"{PROMPT}")).key(FleetOfOne::KEY),
        post(
            "/v1/batches",
            format!(
                "{{\"custom_id\":\"one\",\"body\":{}}}\n",
                completion(PROMPT, false)
            ),
        )
        .key(FleetOfOne::KEY)
        .header("idempotency-key", WRONG_KEY),
        Call::post(fleet.admin(), "/configuration", PROMPT),
    ];
    for call in calls {
        // What the answers are is for other tests; here they need only be made and logged.
        let _ = call.send().await;
    }
}

#[test]
fn nothing_secret_is_logged() {
    let captured = Captured::default();
    let log = captured.logger();
    actix_rt::System::new().block_on(async {
        let stand_ins = FleetOfOne::platform(1, 4).unwrap();
        let fleet = stand_ins.start_node_with_log(log).await.unwrap();
        exercise(&fleet).await;
        fleet.stop();
    });
    let text = captured.text();
    assert!(text.contains("node: Serving."), "nothing was captured");
    for secret in [PROMPT, WRONG_KEY, SECRET, FleetOfOne::KEY] {
        assert!(!text.contains(secret), "'{secret}' is in the log:\n{text}");
    }
}
