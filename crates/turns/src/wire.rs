//! Frames of the connections to holders: a length and a message encoded with postcard.

use std::io;
use std::time::Duration;

use futures_lite::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, FutureExt};
use ibisdale_clients::{BodyRefusal, ClientAccount, HeldBody};
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol::Timer;

/// Maximum length of a message, in bytes; several times the longest chain.
const MESSAGE_MAX_BYTES: u32 = 64 * 1_024 * 1_024;

/// Size of a single read of a message, in bytes.
const READ_BYTES: usize = 8 * 1_024;
/// Maximum time without data within a message.
const PAUSE_MAX: Duration = Duration::from_secs(10);

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
    let length = read_length(stream).await?;
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

/// Reads the length of the next message.
///
/// # Errors
///
/// Returns an error if the connection ends or the message is too long.
pub(crate) async fn read_length(stream: &mut (impl AsyncRead + Unpin)) -> io::Result<u32> {
    let mut length = [0; size_of::<u32>()];
    stream.read_exact(&mut length).await?;
    let length = u32::from_le_bytes(length);
    if length > MESSAGE_MAX_BYTES {
        return Err(io::ErrorKind::FileTooLarge.into());
    }
    Ok(length)
}

/// Reads and decodes a message of `length` bytes into memory that the account grants; the memory
/// stays held until the guard is dropped.
///
/// # Errors
///
/// Returns an error if the connection ends or pauses, the memory does not suffice or the message
/// is malformed.
pub(crate) async fn read_held<M: DeserializeOwned>(
    stream: &mut (impl AsyncRead + Unpin),
    length: u32,
    account: &ClientAccount,
) -> io::Result<(M, HeldBody)> {
    let refuse = |refusal: BodyRefusal| io::Error::new(io::ErrorKind::OutOfMemory, refusal);
    let mut left = usize::try_from(length).unwrap_or(usize::MAX);
    let held = HeldBody::begin(account, 0, left, None).map_err(refuse)?;
    let mut part = vec![0; READ_BYTES.min(left)];
    while left > 0 {
        let size = part.len().min(left);
        let read = stream.read(&mut part[..size]);
        let evicted = async { Err(refuse(held.wait_for_eviction().await)) };
        let timed_out = async {
            Timer::after(PAUSE_MAX).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        let size = read.or(evicted).or(timed_out).await?;
        if size == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        held.append(&part[..size]).map_err(refuse)?;
        left -= size;
    }
    let bytes = held.complete().map_err(refuse)?;
    let message = postcard::from_bytes(&bytes).map_err(io::Error::other)?;
    Ok((message, held))
}
