//! Claims of non-repeatable requests: committed before the request is sent, so that no second
//! request with the same key is ever sent.

use firshore_types::ids::TenantName;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What identifies a non-repeatable request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClaimKey {
    /// Caller.
    pub tenant: TenantName,
    /// The caller's `Idempotency-Key`.
    pub key: String,
}

/// How a claimed request ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimedAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type of the body.
    pub content_type: String,
    /// Body.
    pub body: Vec<u8>,
}

/// Change to the claims.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimCommand {
    /// Claims the right to send the request once.
    Claim {
        /// Key.
        key: ClaimKey,
        /// SHA-256 of the request; a second request must match it.
        digest: String,
        /// Unix milliseconds on the leader's clock.
        at: u64,
    },
    /// Records the answer.
    Settle {
        /// Key.
        key: ClaimKey,
        /// Answer.
        answer: ClaimedAnswer,
    },
    /// Gives the claim up: the request certainly was not run.
    Release(ClaimKey),
}

/// Outcome of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimOutcome {
    /// The claim is the proposer's: it may send the request, once.
    Granted,
    /// Another request holds the claim, and its answer is not known.
    Held,
    /// The request was answered before, like this.
    Settled(ClaimedAnswer),
    /// The key was used for another request.
    Conflict,
    /// Settled or released as asked.
    Done,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct Claim {
    digest: String,
    at: u64,
    answer: Option<ClaimedAnswer>,
}

/// All claims.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ClaimTable {
    claims: BTreeMap<ClaimKey, Claim>,
}

impl ClaimTable {
    /// Applies a committed command.
    pub fn apply(&mut self, command: ClaimCommand) -> ClaimOutcome {
        match command {
            ClaimCommand::Claim { key, digest, at } => self.claim(key, digest, at),
            ClaimCommand::Settle { key, answer } => {
                if let Some(claim) = self.claims.get_mut(&key) {
                    claim.answer.get_or_insert(answer);
                }
                ClaimOutcome::Done
            }
            ClaimCommand::Release(key) => {
                if self
                    .claims
                    .get(&key)
                    .is_some_and(|claim| claim.answer.is_none())
                {
                    self.claims.remove(&key);
                }
                ClaimOutcome::Done
            }
        }
    }

    fn claim(&mut self, key: ClaimKey, digest: String, at: u64) -> ClaimOutcome {
        match self.claims.get(&key) {
            None => {
                self.claims.insert(
                    key,
                    Claim {
                        digest,
                        at,
                        answer: None,
                    },
                );
                ClaimOutcome::Granted
            }
            Some(claim) if claim.digest != digest => ClaimOutcome::Conflict,
            Some(Claim {
                answer: Some(answer),
                ..
            }) => ClaimOutcome::Settled(answer.clone()),
            Some(_) => ClaimOutcome::Held,
        }
    }
}
