//! Heads of requests and responses.

use std::mem::MaybeUninit;

use bytes::{Buf, Bytes, BytesMut};
use compact_str::CompactString;
use snafu::Snafu;

use super::HeaderLines;

/// Maximum number of headers in a message head.
const MAX_HEADERS: usize = 96;
/// Longest form of an empty line with the end of the line before it: LF CR LF.
const EMPTY_LINE_LEN: usize = 3;

/// Reason why a head is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum HeadError {
    /// It is not a valid HTTP/1 head.
    #[snafu(display("the head cannot be parsed"))]
    Malformed,
    /// It has too many bytes or headers.
    #[snafu(display("the head is too large"))]
    TooLarge,
    /// The status code is none of a response (RFC 9110, section 15), or switches to another protocol.
    #[snafu(display("the status code is invalid"))]
    Status,
    /// The framing of the body is ambiguous or not supported.
    #[snafu(display("the length of the body is ambiguous"))]
    Framing,
    /// The `Host` header is missing, repeated or not UTF-8.
    #[snafu(display("the head does not name one host"))]
    Host,
}

/// A header field.
#[derive(Debug, Clone)]
pub struct Header {
    /// Field name in lower case.
    pub name: CompactString,
    /// Field value without surrounding whitespace.
    pub value: Bytes,
}

/// Progress of a head that arrives in parts, so that it is not parsed again for each of them.
#[derive(Debug, Default)]
pub struct HeadProgress {
    /// Empty lines that were dropped before the head, in bytes.
    dropped: usize,
    /// Length of the part that was searched for the end of the head.
    searched: usize,
    /// Length of the part that was parsed last.
    parsed: usize,
}

impl HeadProgress {
    /// Returns whether to parse `buf`: the head may have ended, or is twice as long as it was when
    /// it was parsed last, so that a malformed one is found early. Drops empty lines before it.
    ///
    /// # Errors
    ///
    /// [`HeadError::TooLarge`] if there are more than `max` bytes of empty lines.
    pub fn may_parse(&mut self, buf: &mut BytesMut, max: usize) -> Result<bool, HeadError> {
        let dropped = drop_empty_lines(buf);
        if dropped > 0 {
            self.dropped += dropped;
            (self.searched, self.parsed) = (0, 0);
        }
        if self.dropped > max {
            return Err(HeadError::TooLarge);
        }
        let unsearched = &buf[self.searched.saturating_sub(EMPTY_LINE_LEN - 1)..];
        let may_parse = has_empty_line(unsearched) || buf.len() >= 2 * self.parsed.max(1);
        self.searched = buf.len();
        if may_parse {
            self.parsed = buf.len();
        }
        Ok(may_parse)
    }
}

/// How the end of a body is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// There is no body.
    Empty,
    /// The body has this many bytes.
    Length(u64),
    /// The body ends after the last chunk.
    Chunked,
    /// The body ends with the connection.
    UntilClose,
}

/// Request line and headers of a request.
#[derive(Debug, Clone)]
pub struct RequestHead {
    /// Request method.
    pub method: CompactString,
    /// Request target: path and query.
    pub target: CompactString,
    /// Value of the `Host` header.
    pub host: CompactString,
    /// How the end of the body is determined.
    pub framing: Framing,
    /// Whether the connection closes after this request, by HTTP version or `Connection: close`.
    pub should_close: bool,
    /// Whether the caller waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
    /// Headers in the order received.
    pub headers: Vec<Header>,
}

/// Status line and headers of a response.
#[derive(Debug, Clone)]
pub struct ResponseHead {
    /// Status code.
    pub status: u16,
    /// How the end of the body is determined.
    pub framing: Framing,
    /// Whether the connection closes after this response.
    pub should_close: bool,
    /// Headers in the order received.
    pub headers: Vec<Header>,
    /// Size of the head, in bytes.
    pub len: usize,
}

impl HeadError {
    /// Returns the name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Malformed => "head-malformed",
            Self::TooLarge => "head-size",
            Self::Status => "head-status",
            Self::Framing => "head-framing",
            Self::Host => "head-host",
        }
    }
}

impl RequestHead {
    /// Parses a head and removes it from the start of `buf`; `None` if it is incomplete.
    ///
    /// # Errors
    ///
    /// [`HeadError`] if the head is invalid or larger than `max` bytes.
    pub fn take(buf: &mut BytesMut, max: usize) -> Result<Option<Self>, HeadError> {
        let mut space = [const { MaybeUninit::uninit() }; MAX_HEADERS];
        let mut request = httparse::Request::new(&mut []);
        let parsed = request.parse_with_uninit_headers(buf, &mut space);
        let Some(len) = head_len(parsed, buf.len(), max)? else {
            return Ok(None);
        };
        let method = CompactString::from(request.method.unwrap_or_default());
        let target = CompactString::from(request.path.unwrap_or_default());
        let is_http10 = request.version == Some(0);
        let headers = copy_headers(request.headers);
        check_line_ends(&buf[..len])?;
        drop(buf.split_to(len));
        let host = single_value(&headers, "host").ok_or(HeadError::Host)?;
        let host = std::str::from_utf8(host)
            .map_err(|_| HeadError::Host)?
            .into();
        let framing = framing(&headers)?.unwrap_or(Framing::Empty);
        if is_http10 && framing == Framing::Chunked {
            return Err(HeadError::Framing);
        }
        Ok(Some(Self {
            host,
            framing,
            should_close: is_http10 || has_token(&headers, "connection", "close"),
            expects_continue: has_token(&headers, "expect", "100-continue"),
            method,
            target,
            headers,
        }))
    }
}

impl ResponseHead {
    /// Parses a head and removes it from the start of `buf`; `None` if it is incomplete.
    ///
    /// # Errors
    ///
    /// [`HeadError`] if the head is invalid or larger than `max` bytes.
    pub fn take(buf: &mut BytesMut, max: usize, method: &str) -> Result<Option<Self>, HeadError> {
        let mut space = [const { MaybeUninit::uninit() }; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut []);
        let config = httparse::ParserConfig::default();
        let parsed = config.parse_response_with_uninit_headers(&mut response, buf, &mut space);
        let Some(len) = head_len(parsed, buf.len(), max)? else {
            return Ok(None);
        };
        let status = response.code.unwrap_or_default();
        check_status(status)?;
        let is_http10 = response.version == Some(0);
        let headers = copy_headers(response.headers);
        drop(buf.split_to(len));
        let framing = match status {
            100..=199 | 204 | 304 => Framing::Empty,
            _ if method == "HEAD" => Framing::Empty,
            _ => framing(&headers)?.unwrap_or(Framing::UntilClose),
        };
        if is_http10 && framing == Framing::Chunked {
            return Err(HeadError::Framing);
        }
        Ok(Some(Self {
            status,
            should_close: is_http10
                || framing == Framing::UntilClose
                || has_token(&headers, "connection", "close"),
            framing,
            headers,
            len,
        }))
    }

    /// Returns whether another response follows this one.
    pub fn is_interim(&self) -> bool {
        self.status < 200
    }

    /// Returns whether the status is one of success.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }

    /// Returns whether the body is an event stream.
    pub fn is_event_stream(&self) -> bool {
        let value = self.value("content-type").unwrap_or_default();
        let media_type = value.split(';').next().unwrap_or_default();
        self.framing != Framing::Empty
            && media_type.trim().eq_ignore_ascii_case("text/event-stream")
    }

    /// Returns the idle timeout in seconds that the peer advertises in `Keep-Alive`.
    pub fn keep_alive_secs(&self) -> Option<u64> {
        let value = self.value("keep-alive")?;
        let timeout = value
            .split(',')
            .find_map(|part| part.trim().strip_prefix("timeout="));
        timeout?.trim().parse().ok()
    }
}

impl HeaderLines for RequestHead {
    fn values<'a>(&'a self, name: &'a str) -> impl Iterator<Item = Option<&'a str>> {
        texts(&self.headers, name)
    }
}

impl HeaderLines for ResponseHead {
    fn values<'a>(&'a self, name: &'a str) -> impl Iterator<Item = Option<&'a str>> {
        texts(&self.headers, name)
    }
}

fn texts<'a>(headers: &'a [Header], name: &'a str) -> impl Iterator<Item = Option<&'a str>> {
    let named = headers.iter().filter(move |header| header.name == name);
    named.map(|header| std::str::from_utf8(&header.value).ok())
}

/// Returns whether a header, named in lower case, is hop-by-hop and must not be forwarded.
pub fn is_hop_by_hop(headers: &[Header], name: &str) -> bool {
    const HOP_BY_HOP_HEADERS: [&str; 10] = [
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    ];
    HOP_BY_HOP_HEADERS.contains(&name) || has_token(headers, "connection", name)
}

/// Removes empty lines from the start of `buf`; returns their length.
fn drop_empty_lines(buf: &mut BytesMut) -> usize {
    let mut len = 0;
    loop {
        match &buf[len..] {
            [b'\r', b'\n', ..] => len += 2,
            [b'\n', ..] => len += 1,
            _ => break,
        }
    }
    buf.advance(len);
    len
}

fn has_empty_line(data: &[u8]) -> bool {
    let is_empty_line = |(at, byte): (usize, &u8)| {
        *byte == b'\n' && matches!(&data[at + 1..], [b'\n', ..] | [b'\r', b'\n', ..])
    };
    data.iter().enumerate().any(is_empty_line)
}

fn head_len(
    parsed: httparse::Result<usize>,
    received: usize,
    max: usize,
) -> Result<Option<usize>, HeadError> {
    match parsed {
        Ok(httparse::Status::Complete(len)) if len > max => Err(HeadError::TooLarge),
        Ok(httparse::Status::Complete(len)) => Ok(Some(len)),
        Ok(httparse::Status::Partial) if received > max => Err(HeadError::TooLarge),
        Ok(httparse::Status::Partial) => Ok(None),
        Err(httparse::Error::TooManyHeaders) => Err(HeadError::TooLarge),
        Err(_) => Err(HeadError::Malformed),
    }
}

/// Rejects codes outside the classes of RFC 9110, section 15, and a switch of protocols: no request
/// asks for one.
fn check_status(status: u16) -> Result<(), HeadError> {
    const SWITCHING_PROTOCOLS: u16 = 101;
    match status {
        SWITCHING_PROTOCOLS => Err(HeadError::Status),
        100..=599 => Ok(()),
        _ => Err(HeadError::Status),
    }
}

/// Rejects lines that end without a carriage return, because other HTTP parsers read them
/// differently.
fn check_line_ends(head: &[u8]) -> Result<(), HeadError> {
    let mut previous = b'\r';
    for byte in head {
        if *byte == b'\n' && previous != b'\r' {
            return Err(HeadError::Malformed);
        }
        previous = *byte;
    }
    Ok(())
}

fn copy_headers(headers: &[httparse::Header<'_>]) -> Vec<Header> {
    let copy = |header: &httparse::Header<'_>| Header {
        name: header.name.to_ascii_lowercase().into(),
        value: Bytes::copy_from_slice(header.value),
    };
    headers.iter().map(copy).collect()
}

fn single_value<'a>(headers: &'a [Header], name: &str) -> Option<&'a [u8]> {
    let mut values = headers.iter().filter(|header| header.name == name);
    let first = values.next()?;
    values.next().is_none().then_some(first.value.as_ref())
}

fn single_text<'a>(headers: &'a [Header], name: &str) -> Option<&'a str> {
    std::str::from_utf8(single_value(headers, name)?).ok()
}

fn has_token(headers: &[Header], name: &str, token: &str) -> bool {
    headers
        .iter()
        .filter(|header| header.name == name)
        .filter_map(|header| std::str::from_utf8(&header.value).ok())
        .flat_map(|value| value.split(','))
        .any(|part| part.trim().eq_ignore_ascii_case(token))
}

/// Determines the framing of the body; `None` if no header specifies it.
fn framing(headers: &[Header]) -> Result<Option<Framing>, HeadError> {
    let has_transfer_encoding = headers
        .iter()
        .any(|header| header.name == "transfer-encoding");
    let has_length = headers.iter().any(|header| header.name == "content-length");
    match (has_transfer_encoding, has_length) {
        (false, false) => Ok(None),
        (true, true) => Err(HeadError::Framing),
        (true, false) => {
            let coding = single_text(headers, "transfer-encoding").unwrap_or_default();
            match coding.eq_ignore_ascii_case("chunked") {
                true => Ok(Some(Framing::Chunked)),
                false => Err(HeadError::Framing),
            }
        }
        (false, true) => {
            let digits = single_text(headers, "content-length").unwrap_or_default();
            let is_number = !digits.is_empty() && digits.bytes().all(|b| b.is_ascii_digit());
            let length = digits.parse().ok().filter(|_| is_number);
            length
                .map(|length| Some(Framing::Length(length)))
                .ok_or(HeadError::Framing)
        }
    }
}
