//! The parser of event streams: the same events wherever the bytes are split, bounded
//! memory, and a clear error for what cannot be read.

use laburnumstall_outside::endpoint::sse::{MAX_EVENT_BYTES, SseError, SseEvent, SseParser};
use quickcheck::{Gen, QuickCheck};

fn parse(pieces: &[&[u8]]) -> Result<Vec<SseEvent>, SseError> {
    let mut parser = SseParser::default();
    let mut events = Vec::new();
    for piece in pieces {
        parser.push(piece, &mut events)?;
    }
    Ok(events)
}

fn data(text: &str) -> SseEvent {
    SseEvent {
        data: text.into(),
        ..SseEvent::default()
    }
}

fn check(seed: u64) -> QuickCheck {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(64, seed))
        .tests(2_000)
}

/// Bytes that are likely to be read as events.
fn bytes_like_events(choices: &[u8]) -> Vec<u8> {
    let parts: [&[u8]; 14] = [
        b"data: a",
        b"data:",
        b"data",
        b"id: 7",
        b"event: x",
        b": comment",
        b"\n",
        b"\r",
        b"\r\n",
        b"\n\n",
        "ä€😀".as_bytes(),
        b"\xff",
        b"retry: 1",
        b"[DONE]",
    ];
    let chosen = choices.iter().map(|c| parts[*c as usize % parts.len()]);
    chosen.collect::<Vec<_>>().concat()
}

#[test]
fn fields_and_line_ends() {
    let text =
        b"\xef\xbb\xbf: hello\r\nid: 3\r\nevent: e\r\ndata: a\r\ndata:b\r\n\r\ndata\n\nx: y\n\n";
    let first = SseEvent {
        id: Some("3".into()),
        name: "e".into(),
        data: "a\nb".into(),
    };
    assert_eq!(parse(&[text]), Ok(vec![first, data("")]));
    assert_eq!(
        parse(&[b"data: a\r\rdata: b\r\r"]),
        Ok(vec![data("a"), data("b")])
    );
    assert_eq!(parse(&[b"data: half\n"]), Ok(vec![]));
    assert_eq!(parse(&[b"data: \xff\n\n"]), Err(SseError::NotUtf8));
}

/// Fails when `is_after_cr` in `endpoint/sse.rs` is not kept between two pieces.
#[test]
fn splits_do_not_matter() {
    fn property(choices: Vec<u8>, cuts: Vec<u16>) -> bool {
        let bytes = bytes_like_events(&choices);
        let mut cuts: Vec<_> = cuts
            .iter()
            .map(|cut| *cut as usize % (bytes.len() + 1))
            .collect();
        cuts.extend([0, bytes.len()]);
        cuts.sort_unstable();
        let pieces: Vec<_> = cuts.windows(2).map(|cut| &bytes[cut[0]..cut[1]]).collect();
        parse(&pieces) == parse(&[&bytes])
    }
    check(1).quickcheck(property as fn(Vec<u8>, Vec<u16>) -> bool);
}

#[test]
fn any_bytes_are_read_or_refused() {
    fn property(bytes: Vec<u8>) -> bool {
        match parse(&[&bytes]) {
            Ok(events) => events.iter().all(|event| event.data.len() <= bytes.len()),
            Err(error) => error == SseError::NotUtf8,
        }
    }
    check(2).quickcheck(property as fn(Vec<u8>) -> bool);
}

/// Fails when a length check in `endpoint/sse.rs` is removed.
#[test]
fn oversized_events_are_refused() {
    let piece = [b'x'; 4_096];
    let mut parser = SseParser::default();
    let mut events = Vec::new();
    for _ in 0..MAX_EVENT_BYTES / piece.len() {
        assert_eq!(parser.push(&piece, &mut events), Ok(()));
    }
    assert_eq!(parser.push(&piece, &mut events), Err(SseError::TooLong));
    let lines = b"data: 0123456789\n".repeat(MAX_EVENT_BYTES / 10);
    assert_eq!(parse(&[&lines]), Err(SseError::TooLong));
}
