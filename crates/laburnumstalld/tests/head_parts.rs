//! Heads that arrive in parts.

use bytes::BytesMut;
use laburnumstalld::http1::{HeadProgress, RequestHead};

const MAX: usize = 32 << 10;

/// Feeds `text` byte by byte; returns how often it may be parsed and whether that gave a head.
fn feed(text: &[u8]) -> (usize, bool) {
    let mut progress = HeadProgress::default();
    let mut buf = BytesMut::new();
    let mut parses = 0;
    for byte in text {
        buf.extend_from_slice(&[*byte]);
        if progress.may_parse(&mut buf, MAX).unwrap() {
            parses += 1;
            if let Ok(Some(_)) = RequestHead::take(&mut buf, MAX) {
                return (parses, true);
            }
        }
    }
    (parses, false)
}

/// A head that came byte by byte was parsed from its start after each byte.
#[test]
fn head_is_parsed_for_each_byte() {
    let long = format!("GET / HTTP/1.1\r\nHost: {}\r\n\r\n", "a".repeat(30_000));
    for text in [
        long.as_str(),
        "GET / HTTP/1.1\r\nHost: a\r\n\r\n",
        "\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n",
        "\nGET / HTTP/1.1\r\nHost: a\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: a\r\nB: c\r\n\r\nGET",
    ] {
        let (parses, has_head) = feed(text.as_bytes());
        assert!(has_head, "{text}");
        assert!(parses <= 32, "{parses} of {} bytes", text.len());
    }
    let empty_lines = "\r\n".repeat(MAX / 4);
    let (parses, has_head) = feed(empty_lines.as_bytes());
    assert!(!has_head && parses <= MAX / 4 + 1, "{parses}");
}

/// Empty lines before a head had no limit of their own.
#[test]
fn empty_lines_have_no_limit() {
    let mut progress = HeadProgress::default();
    let mut results = (0..MAX).map(|_| {
        let mut buf = BytesMut::from("\r\n");
        progress.may_parse(&mut buf, MAX)
    });
    assert!(results.any(|result| result.is_err()));
}
