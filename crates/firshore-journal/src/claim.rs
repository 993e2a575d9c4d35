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

/// Random number drawn anew for each request that claims. A claim whose answer was lost may be
/// proposed again with the same token and is granted again; no other token ever is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimToken(pub u64);

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
        /// Who claims.
        proposer: ClaimToken,
        /// SHA-256 of the request; a second request must match it.
        digest: String,
        /// Unix milliseconds on the leader's clock.
        at: u64,
    },
    /// Records the answer.
    Settle {
        /// Key.
        key: ClaimKey,
        /// Who claimed; nobody else's answer is recorded.
        proposer: ClaimToken,
        /// Answer.
        answer: ClaimedAnswer,
    },
    /// Gives the claim up: the request certainly was not run.
    Release {
        /// Key.
        key: ClaimKey,
        /// Who claimed; a release that arrives late does not free another's claim.
        proposer: ClaimToken,
    },
    /// Forgets claims made before this time.
    Forget {
        /// Unix milliseconds on the leader's clock.
        before: u64,
    },
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
    proposer: ClaimToken,
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
            ClaimCommand::Claim {
                key,
                proposer,
                digest,
                at,
            } => self.claim(key, proposer, digest, at),
            ClaimCommand::Settle {
                key,
                proposer,
                answer,
            } => {
                if let Some(claim) = self.claims.get_mut(&key)
                    && claim.proposer == proposer
                {
                    claim.answer.get_or_insert(answer);
                }
                ClaimOutcome::Done
            }
            ClaimCommand::Release { key, proposer } => {
                let releasable =
                    |claim: &Claim| claim.answer.is_none() && claim.proposer == proposer;
                if self.claims.get(&key).is_some_and(releasable) {
                    self.claims.remove(&key);
                }
                ClaimOutcome::Done
            }
            ClaimCommand::Forget { before } => {
                self.claims.retain(|_, claim| claim.at >= before);
                ClaimOutcome::Done
            }
        }
    }

    fn claim(
        &mut self,
        key: ClaimKey,
        proposer: ClaimToken,
        digest: String,
        at: u64,
    ) -> ClaimOutcome {
        let Some(claim) = self.claims.get(&key) else {
            let claim = Claim {
                digest,
                proposer,
                at,
                answer: None,
            };
            self.claims.insert(key, claim);
            return ClaimOutcome::Granted;
        };
        if claim.digest != digest {
            return ClaimOutcome::Conflict;
        }
        match &claim.answer {
            Some(answer) => ClaimOutcome::Settled(answer.clone()),
            None if claim.proposer == proposer => ClaimOutcome::Granted,
            None => ClaimOutcome::Held,
        }
    }
}
