//! Calls to a node's admin address.

use super::Failure;
use awc::Client;
use awc::http::Method;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(30);
const MAXIMUM_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// Sends a request to the node at `node` (`IP:PORT`) and reads its JSON answer.
pub(crate) fn call<T: DeserializeOwned>(
    node: &str,
    method: Method,
    path: &str,
    body: String,
) -> Result<T, Failure> {
    let text = call_text(node, method, path, body)?;
    serde_json::from_str(&text)
        .map_err(|error| Failure::Failed(format!("The node's answer is unreadable: {error}.")))
}

/// Sends a request to the node and reads its answer as text.
pub(crate) fn call_text(
    node: &str,
    method: Method,
    path: &str,
    body: String,
) -> Result<String, Failure> {
    actix_rt::System::new().block_on(async {
        let client = Client::builder()
            .disable_redirects()
            .timeout(TIMEOUT)
            .finish();
        let url = format!("http://{node}{path}");
        let mut answer = client
            .request(method, url)
            .send_body(body)
            .await
            .map_err(|error| {
                Failure::Failed(format!(
                    "The node at {node} did not answer: {error}. Give another with --node."
                ))
            })?;
        let bytes = answer
            .body()
            .limit(MAXIMUM_ANSWER_BYTES)
            .await
            .map_err(|error| Failure::Failed(format!("The answer broke off: {error}.")))?;
        let text = String::from_utf8_lossy(&bytes).into_owned();
        match answer.status().as_u16() {
            200 => Ok(text),
            400 => Err(Failure::Invalid(readable(text))),
            _ => Err(Failure::Failed(readable(text))),
        }
    })
}

#[derive(Deserialize)]
struct ErrorBody {
    error: ErrorDetail,
}

#[derive(Deserialize)]
struct ErrorDetail {
    message: String,
    remedy: String,
}

/// The message and remedy of an error body, or the body as it is.
fn readable(text: String) -> String {
    match serde_json::from_str::<ErrorBody>(&text) {
        Ok(body) => format!("{}\n{}", body.error.message, body.error.remedy),
        Err(_) => text,
    }
}
