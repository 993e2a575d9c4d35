//! Claims of non-repeatable requests. A claim is committed before its request is sent, so that at most
//! one request with the same key is sent.

use firshore_types::ids::TenantName;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Identity of a non-repeatable request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClaimKey {
    /// Tenant that sent the request.
    pub tenant: TenantName,
    /// Value of the `Idempotency-Key` header.
    pub key: String,
}

/// Random number of one claiming request. A claim whose outcome was lost may be proposed again with the
/// same token and is granted again; a claim with another token is not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimToken(pub u64);

/// Response to a claimed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimedAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Content type of the body.
    pub content_type: String,
    /// Body of the response.
    pub body: Vec<u8>,
}

/// Command that changes the claims.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimCommand {
    /// Claims the right to send the request once.
    Claim {
        /// Identity of the request.
        key: ClaimKey,
        /// Token of the claiming request.
        proposer: ClaimToken,
        /// SHA-256 of the request. A later request with the same key must have the same digest.
        digest: String,
        /// Time of the claim by the leader's clock, in Unix milliseconds.
        at: u64,
    },
    /// Records the response.
    Settle {
        /// Identity of the request.
        key: ClaimKey,
        /// Token of the claim; a response with another token is not recorded.
        proposer: ClaimToken,
        /// Response to record.
        answer: ClaimedAnswer,
    },
    /// Releases the claim of a request that was certainly not run.
    Release {
        /// Identity of the request.
        key: ClaimKey,
        /// Token of the claim; a late release does not remove a claim with another token.
        proposer: ClaimToken,
    },
    /// Removes claims made before a time.
    Forget {
        /// Time by the leader's clock, in Unix milliseconds.
        before: u64,
    },
}

/// Outcome of a claim command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimOutcome {
    /// The claim is granted: the proposer may send the request once.
    Granted,
    /// Another request holds the claim, and no response is recorded yet.
    Held,
    /// The request already has this response.
    Settled(ClaimedAnswer),
    /// The key was used for a request with another digest.
    Conflict,
    /// The command that records, releases or removes claims was applied.
    Done,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct Claim {
    digest: String,
    proposer: ClaimToken,
    at: u64,
    answer: Option<ClaimedAnswer>,
}

/// All claims of a group.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ClaimTable {
    claims: BTreeMap<ClaimKey, Claim>,
}

impl ClaimTable {
    /// Applies a committed command and returns its outcome.
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
