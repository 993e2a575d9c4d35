//! Client of the machine list.

use awc::Client;
use awc::http::StatusCode;
use firshore_types::machine::Machine;
use std::time::Duration;

/// Longest wait for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// Longest list accepted, in bytes.
const MAXIMUM_LIST_BYTES: usize = 32 * 1024 * 1024;

/// Reads the whole list; `None` when it cannot be read now.
pub async fn read(base: &str) -> Option<Vec<Machine>> {
    let client = Client::builder()
        .disable_redirects()
        .timeout(ANSWER_TIMEOUT)
        .finish();
    let mut answer = client.get(format!("{base}/machines")).send().await.ok()?;
    if answer.status() != StatusCode::OK {
        return None;
    }
    answer.json().limit(MAXIMUM_LIST_BYTES).await.ok()
}
