//! Frames: a length in four bytes, big-endian, then so many bytes.

use std::io;

use monoio::io::{AsyncReadRent, AsyncReadRentExt, AsyncWriteRent, AsyncWriteRentExt};

/// The largest frame, in bytes.
pub const LARGEST_FRAME_BYTES: usize = 64 * 1024 * 1024;

const LENGTH_BYTES: usize = 4;

/// Reads one frame.
pub async fn read(from: &mut impl AsyncReadRent) -> io::Result<Vec<u8>> {
    let (read, length) = from.read_exact(vec![0; LENGTH_BYTES]).await;
    read?;
    let length = u32::from_be_bytes([length[0], length[1], length[2], length[3]]) as usize;
    if length > LARGEST_FRAME_BYTES {
        return Err(io::Error::new(io::ErrorKind::InvalidData, "the frame is over its bound"));
    }
    let (read, frame) = from.read_exact(vec![0; length]).await;
    read?;
    Ok(frame)
}

/// Writes one frame.
pub async fn write(to: &mut impl AsyncWriteRent, body: &[u8]) -> io::Result<()> {
    if body.len() > LARGEST_FRAME_BYTES {
        return Err(io::Error::new(io::ErrorKind::InvalidInput, "the frame is over its bound"));
    }
    let mut frame = Vec::with_capacity(LENGTH_BYTES + body.len());
    frame.extend_from_slice(&(body.len() as u32).to_be_bytes());
    frame.extend_from_slice(body);
    let (written, _) = to.write_all(frame).await;
    written.map(|_| ())
}
