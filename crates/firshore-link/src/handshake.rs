//! Mutual authentication by challenge and HMAC-SHA256; the cluster secret itself is never sent.

use crate::error::ProtocolError;
use crate::frame;
use hmac::{Hmac, KeyInit, Mac};
use rand::RngExt;
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use tokio::io::{AsyncRead, AsyncWrite};

/// Protocol version. Peers with another version are refused.
pub const PROTOCOL_VERSION: u32 = 1;

/// Maximum length of a handshake frame in bytes; limits what an unauthenticated peer can make a node allocate.
const MAX_HANDSHAKE_BYTES: usize = 1024;

/// Secret that all nodes of a cluster share.
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
    let local = Challenge {
        version: PROTOCOL_VERSION,
        nonce: rand::rng().random(),
    };
    frame::write(stream, &local).await?;
    let remote: Challenge = frame::read(stream, MAX_HANDSHAKE_BYTES).await?;
    if remote.version != PROTOCOL_VERSION {
        return Err(ProtocolError::Version(remote.version));
    }
    let (client, server, remote_side) = match side {
        Side::Client => (&local, &remote, Side::Server),
        Side::Server => (&remote, &local, Side::Client),
    };
    let mac = proof(secret, side, client, server).finalize().into_bytes();
    frame::write(stream, &Proof { mac: mac.into() }).await?;
    let remote_proof: Proof = frame::read(stream, MAX_HANDSHAKE_BYTES).await?;
    proof(secret, remote_side, client, server)
        .verify_slice(&remote_proof.mac)
        .map_err(|_| ProtocolError::Secret)
}

/// Runs the handshake as the side that opened the connection.
///
/// # Errors
///
/// [`ProtocolError::Version`], [`ProtocolError::Secret`], or a failure to exchange frames.
pub async fn connect<S: AsyncRead + AsyncWrite + Unpin>(
    stream: &mut S,
    secret: &ClusterSecret,
) -> Result<(), ProtocolError> {
    exchange(stream, secret, Side::Client).await
}

/// Runs the handshake as the side that accepted the connection.
///
/// # Errors
///
/// [`ProtocolError::Version`], [`ProtocolError::Secret`], or a failure to exchange frames.
pub async fn accept<S: AsyncRead + AsyncWrite + Unpin>(
    stream: &mut S,
    secret: &ClusterSecret,
) -> Result<(), ProtocolError> {
    exchange(stream, secret, Side::Server).await
}
