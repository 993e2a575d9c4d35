//! Mutual proof of the cluster's secret by challenge; the secret itself is never sent.

use crate::error::ProtocolError;
use crate::frame;
use hmac::{Hmac, KeyInit, Mac};
use rand::RngExt;
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use tokio::io::{AsyncRead, AsyncWrite};

/// Version of the protocol; peers of another version are refused.
pub const PROTOCOL_VERSION: u32 = 1;

/// Longest handshake frame in bytes; a stranger cannot make a node allocate more.
const MAXIMUM_HANDSHAKE_BYTES: usize = 1024;

/// Shared secret of the cluster.
#[derive(Clone)]
pub struct ClusterSecret(pub Vec<u8>);

#[derive(Clone, Copy)]
enum Side {
    Client,
    Server,
}

#[derive(Serialize, Deserialize)]
struct Challenge {
    version: u32,
    nonce: [u8; 32],
}

#[derive(Serialize, Deserialize)]
struct Proof {
    mac: [u8; 32],
}

fn proof(
    secret: &ClusterSecret,
    side: Side,
    client: &Challenge,
    server: &Challenge,
) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(&secret.0).expect("any key length is accepted");
    let label: &[u8] = match side {
        Side::Client => b"firshore client",
        Side::Server => b"firshore server",
    };
    mac.update(label);
    mac.update(&client.nonce);
    mac.update(&server.nonce);
    mac
}

async fn exchange<S: AsyncRead + AsyncWrite + Unpin>(
    stream: &mut S,
    secret: &ClusterSecret,
    side: Side,
) -> Result<(), ProtocolError> {
    let own = Challenge {
        version: PROTOCOL_VERSION,
        nonce: rand::rng().random(),
    };
    frame::write(stream, &own).await?;
    let theirs: Challenge = frame::read(stream, MAXIMUM_HANDSHAKE_BYTES).await?;
    if theirs.version != PROTOCOL_VERSION {
        return Err(ProtocolError::Version(theirs.version));
    }
    let (client, server, other) = match side {
        Side::Client => (&own, &theirs, Side::Server),
        Side::Server => (&theirs, &own, Side::Client),
    };
    let mac = proof(secret, side, client, server).finalize().into_bytes();
    frame::write(stream, &Proof { mac: mac.into() }).await?;
    let answer: Proof = frame::read(stream, MAXIMUM_HANDSHAKE_BYTES).await?;
    proof(secret, other, client, server)
        .verify_slice(&answer.mac)
        .map_err(|_| ProtocolError::Secret)
}

/// Runs the handshake as the end that connected.
pub async fn connect<S: AsyncRead + AsyncWrite + Unpin>(
    stream: &mut S,
    secret: &ClusterSecret,
) -> Result<(), ProtocolError> {
    exchange(stream, secret, Side::Client).await
}

/// Runs the handshake as the end that accepted.
pub async fn accept<S: AsyncRead + AsyncWrite + Unpin>(
    stream: &mut S,
    secret: &ClusterSecret,
) -> Result<(), ProtocolError> {
    exchange(stream, secret, Side::Server).await
}
