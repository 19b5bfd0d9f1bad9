//! The frame decoder meets arbitrary bytes.

use laburnumstall_peer::frame::{FrameDecoder, FrameError, MAX_FRAME_BYTES, encode};
use quickcheck::{Gen, QuickCheck};

use crate::node::Message;

const CASES: u64 = 2_000;

fn check<A: quickcheck::Testable>(property: A) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(64, 7))
        .tests(CASES)
        .quickcheck(property);
}

fn frames(messages: &[Message]) -> Vec<u8> {
    let mut buf = Vec::new();
    for message in messages {
        encode(message, &mut buf).expect("a small message");
    }
    buf
}

/// Feeds `bytes` in pieces of `piece` bytes and reads what can be read after each.
fn decode(bytes: &[u8], piece: u8) -> (Vec<Message>, Result<(), FrameError>) {
    let mut decoder = FrameDecoder::default();
    let mut messages = Vec::new();
    for chunk in bytes.chunks(usize::from(piece).max(1)) {
        decoder.push(chunk);
        loop {
            match decoder.next_frame() {
                Ok(Some(message)) => messages.push(message),
                Ok(None) => break,
                Err(error) => return (messages, Err(error)),
            }
        }
        assert!(decoder.buffered() <= bytes.len());
    }
    (messages, decoder.finish())
}

fn messages(numbers: &[u64], blobs: Vec<Vec<u8>>) -> Vec<Message> {
    let numbers = numbers.iter().copied().map(Message::Number);
    numbers
        .chain(blobs.into_iter().map(Message::Blob))
        .collect()
}

#[test]
fn frames_survive_any_cutting() {
    fn property(numbers: Vec<u64>, blobs: Vec<Vec<u8>>, piece: u8) -> bool {
        let sent = messages(&numbers, blobs);
        decode(&frames(&sent), piece) == (sent, Ok(()))
    }
    check(property as fn(Vec<u64>, Vec<Vec<u8>>, u8) -> bool);
}

#[test]
fn arbitrary_bytes_do_not_panic() {
    fn property(bytes: Vec<u8>, piece: u8) -> bool {
        let (messages, _) = decode(&bytes, piece);
        messages.len() <= bytes.len()
    }
    check(property as fn(Vec<u8>, u8) -> bool);
}

#[test]
fn damaged_frames_do_not_panic() {
    fn property(numbers: Vec<u64>, blobs: Vec<Vec<u8>>, at: usize, byte: u8, cut: usize) -> bool {
        let mut bytes = frames(&messages(&numbers, blobs));
        if bytes.is_empty() {
            return true;
        }
        let at = at % bytes.len();
        bytes[at] = byte;
        bytes.truncate(bytes.len() - cut % bytes.len());
        let (messages, _) = decode(&bytes, 16);
        messages.len() <= bytes.len()
    }
    check(property as fn(Vec<u64>, Vec<Vec<u8>>, usize, u8, usize) -> bool);
}

/// Fails without the size check of `FrameDecoder::next_frame`.
#[test]
fn a_large_length_is_refused_at_once() {
    let bytes = MAX_FRAME_BYTES + 1;
    let prefix = (bytes as u32).to_le_bytes();
    let (messages, outcome) = decode(&prefix, 4);
    assert_eq!(messages, []);
    assert_eq!(outcome, Err(FrameError::TooLarge { bytes }));
}

/// A length inside a message, unlike the frame's own, reserves no memory either.
#[test]
fn a_large_length_inside_a_message_is_malformed() {
    let body = [1, 0xff, 0xff, 0xff, 0xff, 0x0f];
    let mut bytes = (body.len() as u32).to_le_bytes().to_vec();
    bytes.extend(body);
    let (_, outcome) = decode(&bytes, 255);
    assert!(matches!(outcome, Err(FrameError::Malformed { .. })));
}

#[test]
fn an_unfinished_frame_is_told() {
    let bytes = frames(&[Message::Number(1)]);
    let (_, outcome) = decode(&bytes[..bytes.len() - 1], 255);
    let bytes = bytes.len() - 1;
    assert_eq!(outcome, Err(FrameError::Truncated { bytes }));
}
