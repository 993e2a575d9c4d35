//! Client of the object API: versioned objects, compare-and-set, listing by prefix with a wait.

use awc::Client;
use awc::http::StatusCode;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Longest wait for an answer, beyond any wait asked of the server.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// Longest listing accepted, in bytes.
const MAXIMUM_LISTING_BYTES: usize = 64 * 1024 * 1024;

quick_error! {
    /// Failure of the object API.
    #[derive(Debug)]
    pub enum ObjectError {
        /// Another version stands there; nothing was written.
        Mismatch {
            display("The object has another version. Read it again and decide anew.")
        }
        /// No usable answer: a write may or may not have taken effect.
        Unanswered(reason: String) {
            display("The object API did not answer: {reason}. Read back to learn whether a write took effect.")
        }
    }
}

/// One object.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Object {
    /// Key.
    pub key: String,
    /// Raised by each write.
    pub version: u64,
    /// Content.
    pub value: String,
}

/// Client of the object API.
#[derive(Clone)]
pub struct ObjectApi {
    base: String,
    client: Client,
}

impl ObjectApi {
    /// A client of the server at `base` (`http://IP:PORT`).
    pub fn new(base: &str) -> Self {
        let client = Client::builder()
            .disable_redirects()
            .timeout(ANSWER_TIMEOUT)
            .finish();
        Self {
            base: base.to_owned(),
            client,
        }
    }

    /// Creates an object that must not exist yet.
    pub async fn create(&self, key: &str, value: String) -> Result<(), ObjectError> {
        let request = self.client.put(self.url(key));
        let request = request.insert_header(("if-none-match", "*"));
        written(request.send_body(value).await)
    }

    /// Writes an object whatever stood there.
    pub async fn replace(&self, key: &str, value: String) -> Result<(), ObjectError> {
        written(self.client.put(self.url(key)).send_body(value).await)
    }

    fn url(&self, key: &str) -> String {
        format!("{}/objects/{key}", self.base)
    }

    /// The object of this key, if there is one; possibly from an old replica.
    pub async fn get(&self, key: &str) -> Result<Option<Object>, ObjectError> {
        let found = self.list_after(key, "", Duration::ZERO).await?;
        Ok(found.into_iter().find(|object| object.key == key))
    }

    /// Objects under `prefix` with keys after `after`, in order of key. Waits up to `wait` for
    /// one to appear.
    pub async fn list_after(
        &self,
        prefix: &str,
        after: &str,
        wait: Duration,
    ) -> Result<Vec<Object>, ObjectError> {
        let milliseconds = wait.as_millis();
        let url = format!(
            "{}/objects?prefix={prefix}&after={after}&wait={milliseconds}",
            self.base
        );
        let mut answer = self
            .client
            .get(url)
            .timeout(wait + ANSWER_TIMEOUT)
            .send()
            .await
            .map_err(|error| ObjectError::Unanswered(error.to_string()))?;
        if answer.status() != StatusCode::OK {
            return Err(ObjectError::Unanswered(format!(
                "status {}",
                answer.status()
            )));
        }
        // A cut-off body ends like a whole one in awc; JSON that lacks its end does not parse.
        answer
            .json()
            .limit(MAXIMUM_LISTING_BYTES)
            .await
            .map_err(|error| ObjectError::Unanswered(error.to_string()))
    }
}

fn written<S>(
    answer: Result<awc::ClientResponse<S>, awc::error::SendRequestError>,
) -> Result<(), ObjectError> {
    let answer = answer.map_err(|error| ObjectError::Unanswered(error.to_string()))?;
    match answer.status() {
        StatusCode::OK => Ok(()),
        StatusCode::PRECONDITION_FAILED => Err(ObjectError::Mismatch),
        status => Err(ObjectError::Unanswered(format!("status {status}"))),
    }
}
