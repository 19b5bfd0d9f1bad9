//! Frames of a stream: a length of four bytes, little-endian, and a postcard value.
//!
//! The decoder is fed whatever the network gives and keeps at most one frame's bytes
//! beyond what it was fed; a length above [`MAX_FRAME_BYTES`] is refused before anything
//! is kept for it.

use bytes::{Buf, BytesMut};
use serde::{Serialize, de::DeserializeOwned};
use snafu::Snafu;

/// Largest encoded message, in bytes.
pub const MAX_FRAME_BYTES: usize = 4 << 20;

const LENGTH_BYTES: usize = size_of::<u32>();

/// Largest buffer, in bytes, that an idle decoder keeps.
const IDLE_BUFFER_BYTES: usize = 64 << 10;

/// A frame that cannot be written or read.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum FrameError {
    /// The frame is larger than [`MAX_FRAME_BYTES`].
    #[snafu(display("a frame of {bytes} bytes is larger than {MAX_FRAME_BYTES} bytes"))]
    TooLarge {
        /// Size of the frame in bytes.
        bytes: usize,
    },
    /// The content is not a message of this version.
    #[snafu(display("a frame of {bytes} bytes is not a message: {source}"))]
    Malformed {
        /// Size of the frame in bytes.
        bytes: usize,
        /// What the codec said.
        source: postcard::Error,
    },
    /// Bytes are left after the message.
    #[snafu(display("a frame has {bytes} bytes after its message"))]
    Trailing {
        /// Number of bytes left.
        bytes: usize,
    },
    /// The stream does not start with a known version and lane.
    #[snafu(display("a stream starts with version {version} and lane {lane}"))]
    Header {
        /// Version byte.
        version: u8,
        /// Lane byte.
        lane: u8,
    },
    /// The stream ended within a frame.
    #[snafu(display("a stream ended {bytes} bytes into a frame"))]
    Truncated {
        /// Bytes of the unfinished frame.
        bytes: usize,
    },
}

/// Appends the frame of `message` to `buf`.
///
/// # Errors
///
/// [`FrameError::TooLarge`] or [`FrameError::Malformed`]; `buf` then holds part of the
/// frame, which the caller cuts off.
pub fn encode<M: Serialize>(message: &M, buf: &mut Vec<u8>) -> Result<(), FrameError> {
    let start = buf.len();
    buf.extend_from_slice(&[0; LENGTH_BYTES]);
    let outcome = postcard::to_io(message, &mut *buf).map(|_| ());
    let bytes = buf.len() - start - LENGTH_BYTES;
    outcome.map_err(|source| FrameError::Malformed { bytes, source })?;
    if bytes > MAX_FRAME_BYTES {
        return Err(FrameError::TooLarge { bytes });
    }
    let length = bytes as u32;
    buf[start..start + LENGTH_BYTES].copy_from_slice(&length.to_le_bytes());
    Ok(())
}

/// Cuts a stream of bytes into messages.
#[derive(Debug, Default)]
pub struct FrameDecoder {
    buf: BytesMut,
}

impl FrameDecoder {
    /// Adds bytes that were received.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Returns the next message, or nothing until more bytes are pushed.
    ///
    /// # Errors
    ///
    /// [`FrameError`] for a frame that is too large, malformed or followed by other
    /// bytes. The stream cannot be used after that.
    pub fn next_frame<M: DeserializeOwned>(&mut self) -> Result<Option<M>, FrameError> {
        let Some(bytes) = self.length() else {
            return Ok(None);
        };
        if bytes > MAX_FRAME_BYTES {
            return Err(FrameError::TooLarge { bytes });
        }
        if self.buf.len() < LENGTH_BYTES + bytes {
            return Ok(None);
        }
        self.buf.advance(LENGTH_BYTES);
        let body = self.buf.split_to(bytes);
        if self.buf.is_empty() && bytes > IDLE_BUFFER_BYTES {
            self.buf = BytesMut::new();
        }
        decode(&body).map(Some)
    }

    /// Checks that no frame is unfinished at the end of a stream.
    ///
    /// # Errors
    ///
    /// [`FrameError::Truncated`] with the number of bytes left over.
    pub fn finish(&self) -> Result<(), FrameError> {
        match self.buf.len() {
            0 => Ok(()),
            bytes => Err(FrameError::Truncated { bytes }),
        }
    }

    /// Returns the number of bytes kept.
    pub fn buffered(&self) -> usize {
        self.buf.len()
    }

    fn length(&self) -> Option<usize> {
        let prefix = self.buf.first_chunk::<LENGTH_BYTES>()?;
        Some(u32::from_le_bytes(*prefix) as usize)
    }
}

fn decode<M: DeserializeOwned>(body: &[u8]) -> Result<M, FrameError> {
    let bytes = body.len();
    let (message, rest) = postcard::take_from_bytes(body)
        .map_err(|source| FrameError::Malformed { bytes, source })?;
    if !rest.is_empty() {
        return Err(FrameError::Trailing { bytes: rest.len() });
    }
    Ok(message)
}
