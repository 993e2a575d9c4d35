//! Requests with a part in their prompts under which back ends end, beside others of the same caller.

mod support;

use firshore_stand_in::adapter::PROMPT;
use firshore_stand_in::backend::Play;
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;
use support::{Fixture, fixture, send};
use tokio::io::AsyncReadExt;

const FATAL_PART: u64 = 77;

/// The first part, which all requests share.
const FIRST_PART: u64 = 1;

const BACKENDS: usize = 12;

/// Longer than the time within which exits count as one occasion.
const INTERVAL: Duration = Duration::from_millis(250);

/// Exits after which no request with the part may reach a back end, and the sends that may cross the news.
const MAX_SENDS: usize = 3;

async fn start() -> Fixture {
    let route = json!({"prefix": "/stream/", "service": "s", "repetition": "stream",
        "timeout": 2_000, "attempts": 1});
    let configuration = json!({"version": 1, "routes": [route]});
    let fixture = fixture(configuration, &[&[][..]; BACKENDS], Play::Events).await;
    for backend in &fixture.backends {
        backend.set_fatal_part(FATAL_PART);
    }
    fixture
}

/// Sends a request that is like no other, and returns its status.
async fn request(address: SocketAddr, number: usize, shared: &[u64]) -> u16 {
    let shared: Vec<String> = shared.iter().map(ToString::to_string).collect();
    let prompt = format!("{PROMPT}: {},{}\r\n", shared.join(","), 1_000 + number);
    let mut stream = send(address, &format!("/stream/{number}/"), &prompt).await;
    let mut response = String::new();
    let _ = stream.read_to_string(&mut response).await;
    response.split(' ').nth(1).unwrap().parse().unwrap()
}

fn fatal_sends(fixture: &Fixture) -> usize {
    let seen = fixture.seen();
    let has_part = |prompt: &String| prompt.contains(&format!("{FATAL_PART}"));
    seen.iter()
        .filter(|seen| seen.headers.get(PROMPT).is_some_and(has_part))
        .count()
}

#[test]
fn one_part_of_many_prompts_ended_back_end_after_back_end() {
    actix_rt::System::new().block_on(async {
        let fixture = start().await;
        let mut refused = 0;
        for number in 0..BACKENDS - 2 {
            let parts = [FIRST_PART, FATAL_PART, 100 + number as u64];
            let status = request(fixture.address, 2 * number, &parts).await;
            refused += usize::from(status == 503);
            let sound = [FIRST_PART, 200 + number as u64];
            let status = request(fixture.address, 2 * number + 1, &sound).await;
            assert_eq!(status, 200, "a sound request with the same first part");
            actix_rt::time::sleep(INTERVAL).await;
        }
        assert_eq!(fatal_sends(&fixture), MAX_SENDS);
        assert_eq!(refused, BACKENDS - 2 - MAX_SENDS);
    });
}
