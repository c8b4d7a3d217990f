//! Frames of the connections to holders: a length and a message encoded with postcard.

use std::io;

use futures_lite::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Maximum length of a message, in bytes; several times the longest chain.
const MESSAGE_MAX_BYTES: u32 = 64 * 1_024 * 1_024;

/// Encodes a message with its length.
///
/// # Errors
///
/// Returns an error if the message can't be encoded or is too long.
pub(crate) fn encode_message(message: &impl Serialize) -> io::Result<Vec<u8>> {
    let mut buffer = vec![0; size_of::<u32>()];
    buffer = postcard::to_extend(message, buffer).map_err(io::Error::other)?;
    let length = u32::try_from(buffer.len() - size_of::<u32>());
    let length = length.ok().filter(|length| *length <= MESSAGE_MAX_BYTES);
    let length = length.ok_or(io::ErrorKind::FileTooLarge)?;
    buffer[..size_of::<u32>()].copy_from_slice(&length.to_le_bytes());
    Ok(buffer)
}

/// Writes an encoded message.
pub(crate) async fn write_message(
    stream: &mut (impl AsyncWrite + Unpin),
    encoded: &[u8],
) -> io::Result<()> {
    stream.write_all(encoded).await
}

/// Reads and decodes a message.
///
/// # Errors
///
/// Returns an error if the connection ends or the message is too long or malformed.
pub(crate) async fn read_message<M: DeserializeOwned>(
    stream: &mut (impl AsyncRead + Unpin),
) -> io::Result<M> {
    let mut length = [0; size_of::<u32>()];
    stream.read_exact(&mut length).await?;
    let length = u32::from_le_bytes(length);
    if length > MESSAGE_MAX_BYTES {
        return Err(io::ErrorKind::FileTooLarge.into());
    }
    let mut buffer = Vec::new();
    // The buffer grows with what arrives, whatever length was announced.
    let read = stream
        .take(u64::from(length))
        .read_to_end(&mut buffer)
        .await?;
    if u32::try_from(read) != Ok(length) {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    postcard::from_bytes(&buffer).map_err(io::Error::other)
}
