//! Requests that must run at most once, under an `Idempotency-Key`.
//!
//! The journal commits a claim before the request is sent, so that a second request with the
//! key, at any node, gets the first one's answer or a conflict. A crash between claim and answer
//! leaves the claim held: the request ran once or not at all, and is never sent again.

use crate::clock::unix_milliseconds;
use crate::gateway::dispatch::{self, AnswerBody, Dispatch};
use crate::gateway::response::{self, EXECUTION_HEADER};
use crate::journal;
use crate::shared::Shared;
use actix_http::body::BoxBody;
use actix_http::header::{CONTENT_TYPE, HeaderName};
use actix_http::{Response, StatusCode};
use firshore_journal::claim::{ClaimCommand, ClaimKey, ClaimOutcome, ClaimToken, ClaimedAnswer};
use firshore_routing::endpoint::Outcome;
use firshore_types::error::{ApiError, ErrorCode, Execution};
use firshore_types::ids::TenantName;
use sha2::{Digest, Sha256};
use slog::warn;
use std::sync::Arc;
use std::time::Duration;

/// Header on an answer that was given before to a request with the same key.
const REPLAYED_HEADER: HeaderName = HeaderName::from_static("firshore-replayed");

/// Longest answer kept for requests that come again, in bytes.
const MAXIMUM_KEPT_BYTES: usize = 256 * 1024;

/// Tries to commit a claim. The same claim may be proposed again: its token tells it from
/// another's.
const CLAIM_TRIES: u32 = 3;

/// Tries to record an answer.
const SETTLE_TRIES: u32 = 20;

const TRY_PAUSE: Duration = Duration::from_millis(250);

/// Seconds after which a caller should ask again for the outcome of a held claim.
const HELD_RETRY_AFTER_SECONDS: u32 = 1;

#[derive(Clone)]
struct Claim {
    key: ClaimKey,
    proposer: ClaimToken,
}

fn digest(request: &Dispatch) -> String {
    let mut hash = Sha256::new();
    hash.update(request.outbound.method.as_str());
    hash.update([0]);
    hash.update(&request.outbound.path);
    hash.update([0]);
    hash.update(&request.outbound.body);
    hex::encode(hash.finalize())
}

/// A refusal of a request with a key before its claim was looked up: an earlier request with the
/// key may have run, unless nothing like this one is ever run.
pub fn refused_before(error: ApiError) -> ApiError {
    let never_run = matches!(
        error.code,
        ErrorCode::InvalidRequest
            | ErrorCode::InvalidHeader
            | ErrorCode::TooLarge
            | ErrorCode::MethodNotAllowed
    );
    if never_run || error.execution != Execution::None {
        return error;
    }
    ApiError {
        execution: Execution::Unknown,
        ..error
    }
}

/// Runs a request under its key once, or gives the answer of the request that did. Its errors
/// are answers already: they say what the claim says.
pub async fn run(
    shared: &Arc<Shared>,
    tenant: TenantName,
    key: String,
    request: Dispatch,
) -> Response<BoxBody> {
    let claim = Claim {
        key: ClaimKey { tenant, key },
        proposer: ClaimToken(rand::random()),
    };
    // Not cancelled with its caller: a claim must not be left behind without a run, and whether
    // it ran has to be recorded.
    let task = actix_rt::spawn(claim_and_run(shared.clone(), claim, request));
    let result = task.await.unwrap_or_else(|_| Err(in_doubt()));
    result.unwrap_or_else(|error| {
        shared.metrics.count_error(&error);
        response::of_error(&error)
    })
}

async fn claim_and_run(
    shared: Arc<Shared>,
    claim: Claim,
    request: Dispatch,
) -> Result<Response<BoxBody>, ApiError> {
    match commit(&shared, &claim, digest(&request)).await? {
        ClaimOutcome::Granted => {
            let answer = run_claimed(&shared, claim, request).await?;
            Ok(respond(answer, false))
        }
        ClaimOutcome::Settled(answer) => Ok(respond(answer, true)),
        ClaimOutcome::Conflict => Err(ApiError::not_run(
            ErrorCode::Conflict,
            "This Idempotency-Key was used for another request.",
        )),
        ClaimOutcome::Held | ClaimOutcome::Done => Err(in_doubt()),
    }
}

fn in_doubt() -> ApiError {
    let message = "A request with this Idempotency-Key was sent; its answer is not known yet.";
    ApiError::maybe_run(ErrorCode::Conflict, message).retry_after(HELD_RETRY_AFTER_SECONDS)
}

/// Commits the claim. Nothing was sent under it if this fails, but an earlier request with the
/// key may have run.
async fn commit(shared: &Shared, claim: &Claim, digest: String) -> Result<ClaimOutcome, ApiError> {
    let command = ClaimCommand::Claim {
        key: claim.key.clone(),
        proposer: claim.proposer,
        digest,
        at: unix_milliseconds(),
    };
    let mut tries = 1;
    loop {
        match journal::claim(shared, command.clone()).await {
            Ok(outcome) => return Ok(outcome),
            Err(error) if tries == CLAIM_TRIES => {
                return Err(ApiError {
                    execution: Execution::Unknown,
                    ..error
                });
            }
            Err(_) => actix_rt::time::sleep(TRY_PAUSE).await,
        }
        tries += 1;
    }
}

async fn run_claimed(
    shared: &Arc<Shared>,
    claim: Claim,
    request: Dispatch,
) -> Result<ClaimedAnswer, ApiError> {
    let result = dispatch::send(shared, &request).await;
    let result = result.map(|answer| {
        if let Some(run) = answer.run {
            run.ended();
        }
        answer.running.ended(Outcome::Completed);
        let content_type = answer.head.headers.get(CONTENT_TYPE);
        ClaimedAnswer {
            status: answer.head.status.as_u16(),
            content_type: content_type
                .and_then(|value| value.to_str().ok())
                .unwrap_or("application/octet-stream")
                .to_owned(),
            body: match answer.body {
                AnswerBody::Whole(bytes) => bytes.to_vec(),
                AnswerBody::Streamed(_) => Vec::new(),
            },
        }
    });
    let Claim { key, proposer } = claim;
    let command = match &result {
        Ok(answer) => ClaimCommand::Settle {
            key,
            proposer,
            answer: kept(answer),
        },
        Err(error) if error.execution == Execution::None => ClaimCommand::Release { key, proposer },
        // The claim stays held: the request may have run.
        Err(_) => return result,
    };
    record(shared, command).await;
    result
}

/// The answer as it is kept for requests that come again.
fn kept(answer: &ClaimedAnswer) -> ClaimedAnswer {
    if answer.body.len() <= MAXIMUM_KEPT_BYTES {
        return answer.clone();
    }
    let message = "The request ran to its end, but its answer was too long to be kept.";
    let error = ApiError {
        execution: Execution::Complete,
        ..ApiError::not_run(ErrorCode::Conflict, message)
    };
    ClaimedAnswer {
        status: error.code.status(),
        content_type: "application/json".to_owned(),
        body: error.body().into_bytes(),
    }
}

/// Records how a claim ended, trying for some seconds. If that fails, the claim stays held.
async fn record(shared: &Shared, command: ClaimCommand) {
    for _ in 0..SETTLE_TRIES {
        if journal::claim(shared, command.clone()).await.is_ok() {
            return;
        }
        actix_rt::time::sleep(TRY_PAUSE).await;
    }
    warn!(shared.log, "gateway: Outcome of a claim not recorded.");
}

fn respond(answer: ClaimedAnswer, replayed: bool) -> Response<BoxBody> {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    let mut builder = Response::build(status);
    builder.insert_header((CONTENT_TYPE, answer.content_type));
    builder.insert_header((EXECUTION_HEADER, Execution::Complete.header_value()));
    if replayed {
        builder.insert_header((REPLAYED_HEADER, "yes"));
    }
    builder.body(answer.body).map_into_boxed_body()
}
