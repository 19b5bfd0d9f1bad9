//! Decodes message bodies framed by length, in chunks or by the end of the connection.

use bytes::{Buf, Bytes, BytesMut};
use snafu::Snafu;

use super::head::Framing;

/// Maximum length of a chunk size line or trailer line.
const MAX_CHUNK_LINE_BYTES: usize = 1_024;
/// Maximum size of all chunk extensions of a body, which are dropped.
const MAX_EXTENSION_BYTES: usize = 16 << 10;
/// Maximum size of a trailer, which is dropped.
const MAX_TRAILER_BYTES: usize = 16 << 10;

/// Error in the framing of a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum BodyError {
    /// The connection ended before the body did.
    #[snafu(display("the body is truncated"))]
    Truncated,
    /// A chunk is malformed or a line of the chunked coding is too long.
    #[snafu(display("a chunk is malformed"))]
    Chunk,
    /// The chunk extensions are too large.
    #[snafu(display("the chunk extensions are too large"))]
    Extensions,
    /// The trailer is too large.
    #[snafu(display("the trailer is too large"))]
    Trailer,
    /// A line of the trailer is no field line (RFC 9112, section 5).
    #[snafu(display("a line of the trailer is malformed"))]
    TrailerLine,
}

impl BodyError {
    /// Returns the name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Truncated => "body-truncated",
            Self::Chunk => "chunk-malformed",
            Self::Extensions => "extension-size",
            Self::Trailer => "trailer-size",
            Self::TrailerLine => "trailer-malformed",
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Done,
    Length(u64),
    UntilClose,
    ChunkSize,
    ChunkData(u64),
    ChunkEnd,
    Trailer,
    Failed(BodyError),
}

/// Incremental decoder of a message body.
#[derive(Debug, Clone)]
pub struct BodyReader {
    state: State,
    extension_bytes: usize,
    trailer_bytes: usize,
}

impl BodyReader {
    /// Creates a decoder for a body with this framing.
    pub fn new(framing: Framing) -> Self {
        let state = match framing {
            Framing::Empty | Framing::Length(0) => State::Done,
            Framing::Length(length) => State::Length(length),
            Framing::Chunked => State::ChunkSize,
            Framing::UntilClose => State::UntilClose,
        };
        Self {
            state,
            extension_bytes: 0,
            trailer_bytes: 0,
        }
    }

    /// Returns whether the whole body was decoded.
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Decodes all data in `buf`; `None` if more input is needed or the body is done.
    ///
    /// # Errors
    ///
    /// [`BodyError`] if the chunked coding is malformed or has too much beside the data. The data
    /// before the error is returned first.
    pub fn next(&mut self, buf: &mut BytesMut) -> Result<Option<Bytes>, BodyError> {
        let Some(first) = self.next_part(buf)? else {
            return Ok(None);
        };
        let mut joined = BytesMut::new();
        loop {
            match self.next_part(buf) {
                Ok(Some(part)) => {
                    if joined.is_empty() {
                        joined.extend_from_slice(&first);
                    }
                    joined.extend_from_slice(&part);
                }
                Ok(None) => break,
                Err(error) => {
                    self.state = State::Failed(error);
                    break;
                }
            }
        }
        Ok(Some(match joined.is_empty() {
            true => first,
            false => joined.freeze(),
        }))
    }

    /// Decodes the data of the next chunk in `buf`, or all data of a body without chunks.
    fn next_part(&mut self, buf: &mut BytesMut) -> Result<Option<Bytes>, BodyError> {
        loop {
            match self.state {
                State::Done => return Ok(None),
                State::Failed(error) => return Err(error),
                State::UntilClose => return Ok(take_up_to(buf, u64::MAX)),
                State::Length(remaining) => {
                    let Some(data) = take_up_to(buf, remaining) else {
                        return Ok(None);
                    };
                    let remaining = remaining - data.len() as u64;
                    self.state = if remaining == 0 {
                        State::Done
                    } else {
                        State::Length(remaining)
                    };
                    return Ok(Some(data));
                }
                State::ChunkData(remaining) => {
                    let Some(data) = take_up_to(buf, remaining) else {
                        return Ok(None);
                    };
                    let remaining = remaining - data.len() as u64;
                    self.state = if remaining == 0 {
                        State::ChunkEnd
                    } else {
                        State::ChunkData(remaining)
                    };
                    return Ok(Some(data));
                }
                State::ChunkSize => {
                    let Some(line) = take_line(buf)? else {
                        return Ok(None);
                    };
                    let (size, extension_bytes) = parse_chunk_size(&line)?;
                    self.extension_bytes += extension_bytes;
                    if self.extension_bytes > MAX_EXTENSION_BYTES {
                        return Err(BodyError::Extensions);
                    }
                    self.state = match size {
                        0 => State::Trailer,
                        size => State::ChunkData(size),
                    };
                }
                State::ChunkEnd => {
                    let Some(line) = take_line(buf)? else {
                        return Ok(None);
                    };
                    if !line.is_empty() {
                        return Err(BodyError::Chunk);
                    }
                    self.state = State::ChunkSize;
                }
                State::Trailer => {
                    let Some(line) = take_line(buf)? else {
                        return Ok(None);
                    };
                    self.trailer_bytes += line.len();
                    if line.is_empty() {
                        self.state = State::Done;
                    } else if self.trailer_bytes > MAX_TRAILER_BYTES {
                        return Err(BodyError::Trailer);
                    } else if !is_field_line(&line) {
                        return Err(BodyError::TrailerLine);
                    }
                }
            }
        }
    }

    /// Records that the peer closed the connection gracefully.
    ///
    /// # Errors
    ///
    /// [`BodyError::Truncated`] if the body is not complete.
    pub fn on_eof(&mut self) -> Result<(), BodyError> {
        match self.state {
            State::Done | State::UntilClose => {
                self.state = State::Done;
                Ok(())
            }
            _ => Err(BodyError::Truncated),
        }
    }
}

fn take_up_to(buf: &mut BytesMut, max: u64) -> Option<Bytes> {
    if buf.is_empty() {
        return None;
    }
    let len = usize::try_from(max).map_or(buf.len(), |max| max.min(buf.len()));
    Some(buf.split_to(len).freeze())
}

fn take_line(buf: &mut BytesMut) -> Result<Option<Bytes>, BodyError> {
    let mut line = buf.iter().take(MAX_CHUNK_LINE_BYTES + 1);
    let Some(end) = line.position(|byte| *byte == b'\n') else {
        return match buf.len() > MAX_CHUNK_LINE_BYTES {
            true => Err(BodyError::Chunk),
            false => Ok(None),
        };
    };
    if end == 0 || buf[end - 1] != b'\r' {
        return Err(BodyError::Chunk);
    }
    let line = buf.split_to(end - 1).freeze();
    buf.advance(2);
    Ok(Some(line))
}

/// Returns whether a line has a name that is a token, a colon and a value without control bytes.
fn is_field_line(line: &[u8]) -> bool {
    let is_token_byte =
        |byte: &u8| byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(byte);
    let is_value_byte = |byte: &u8| *byte == b'\t' || !byte.is_ascii_control();
    let Some(colon) = line.iter().position(|byte| *byte == b':') else {
        return false;
    };
    let (name, value) = (&line[..colon], &line[colon + 1..]);
    !name.is_empty() && name.iter().all(is_token_byte) && value.iter().all(is_value_byte)
}

/// Returns the size of a chunk, and the length of the rest of the line.
fn parse_chunk_size(line: &[u8]) -> Result<(u64, usize), BodyError> {
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default();
    let digits = digits.trim_ascii_end();
    let rest = line.len() - digits.len();
    let is_number =
        !digits.is_empty() && digits.len() <= 15 && digits.iter().all(u8::is_ascii_hexdigit);
    let text = std::str::from_utf8(digits).ok().filter(|_| is_number);
    text.and_then(|text| u64::from_str_radix(text, 16).ok())
        .map(|size| (size, rest))
        .ok_or(BodyError::Chunk)
}

/// Appends `data` to `out` as one chunk; empty data appends nothing, as it would end the body.
pub fn write_chunk(data: &[u8], out: &mut Vec<u8>) {
    if data.is_empty() {
        return;
    }
    out.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
    out.extend_from_slice(data);
    out.extend_from_slice(b"\r\n");
}
