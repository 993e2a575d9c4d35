//! Length-prefixed CBOR frames.

use crate::error::ProtocolError;
use serde::{Serialize, de::DeserializeOwned};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// Maximum length of a frame body in bytes.
pub const MAX_FRAME_BYTES: usize = 32 * 1024 * 1024;

/// Encodes a value as one frame, including its length prefix.
///
/// # Errors
///
/// [`ProtocolError::Malformed`] if the value cannot be encoded, [`ProtocolError::Oversized`] if its body
/// exceeds [`MAX_FRAME_BYTES`].
pub fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, ProtocolError> {
    let mut bytes = vec![0; 4];
    ciborium::into_writer(value, &mut bytes)
        .map_err(|error| ProtocolError::Malformed(error.to_string()))?;
    let length = bytes.len() - 4;
    if length > MAX_FRAME_BYTES {
        return Err(ProtocolError::Oversized(length));
    }
    bytes[..4].copy_from_slice(&(length as u32).to_be_bytes());
    Ok(bytes)
}

/// Encodes a value and writes it as one frame.
///
/// # Errors
///
/// Those of [`encode`], and [`ProtocolError::Io`].
pub async fn write<T: Serialize>(
    writer: &mut (impl AsyncWrite + Unpin),
    value: &T,
) -> Result<(), ProtocolError> {
    writer.write_all(&encode(value)?).await?;
    Ok(())
}

/// Reads one frame with a body of at most `limit` bytes. The body is allocated only after that check.
///
/// # Errors
///
/// [`ProtocolError::Oversized`], [`ProtocolError::Malformed`] or [`ProtocolError::Io`].
pub async fn read<T: DeserializeOwned>(
    reader: &mut (impl AsyncRead + Unpin),
    limit: usize,
) -> Result<T, ProtocolError> {
    let length = reader.read_u32().await? as usize;
    if length > limit {
        return Err(ProtocolError::Oversized(length));
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).await?;
    ciborium::from_reader(body.as_slice())
        .map_err(|error| ProtocolError::Malformed(error.to_string()))
}
