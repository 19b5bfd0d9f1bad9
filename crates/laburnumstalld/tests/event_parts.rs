//! Event streams that arrive in parts.

use laburnumstalld::event_buffer::EventBuffer;

/// Cuts `text` into parts of `len` bytes; returns the blocks taken after each part, and the number
/// of parts after which there was an event.
fn cut(text: &[u8], len: usize) -> (Vec<u8>, usize, usize) {
    let mut buf = EventBuffer::default();
    let (mut taken, mut events) = (Vec::new(), 0);
    for part in text.chunks(len) {
        buf.push(part);
        events += usize::from(buf.has_event());
        taken.extend_from_slice(&buf.take_blocks());
    }
    (taken, events, buf.len())
}

/// A line end that falls between two parts was missed, or one was found twice.
#[test]
fn events_do_not_depend_on_the_parts() {
    let text = b"id:1\ndata:a\n\n: note\n\nid:2\r\ndata:b\r\n\r\n\n\ndata:c\n\r\nid:9\ndata";
    let whole = text.len() - b"id:9\ndata".len();
    for len in 1..=text.len() {
        let (taken, events, rest) = cut(text, len);
        assert_eq!(taken, &text[..whole], "{len}");
        assert_eq!(rest, text.len() - whole);
        assert!(events >= 1);
    }
    assert_eq!(cut(text, 1).1, 3);
}

/// Comments and empty lines were taken for events.
#[test]
fn comments_are_events() {
    let (taken, events, _) = cut(b": a\n\n\n:\r\n\r\n", 2);
    assert_eq!((taken.len(), events), (11, 0));
}

/// A status line in two parts was taken for a line of an event, or text within a line for one.
#[test]
fn second_response_comes_in_parts() {
    let text = b"data: HTTP/1.1 is a protocol\n\nHTTP/1.1 503 Full\r\n\r\n";
    for len in 1..=text.len() {
        let mut buf = EventBuffer::default();
        let is_followed = text.chunks(len).any(|part| buf.push_until_response(part));
        assert!(is_followed, "{len}");
        assert_eq!(buf.take_blocks(), text[..30]);
        assert!(buf.is_empty());
    }
}
