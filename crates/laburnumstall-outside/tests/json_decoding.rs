//! Bodies from outside: random JSON and random bytes are read or refused, never a panic,
//! and what is written is read back.

use laburnumstall_core::request::{AnswerEvent, Dialect};
use laburnumstall_core::store::StoreVersion;
use laburnumstall_core::units::Tokens;
use laburnumstall_outside::endpoint::{AttemptFailure, ChunkDecoder, engine_body, prompt_text};
use laburnumstall_outside::key_value::wire::{WireReply, WireStored, WireValue};
use quickcheck::{Gen, QuickCheck};
use serde_json::{Value, json};

fn check(seed: u64) -> QuickCheck {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(64, seed))
        .tests(2_000)
}

/// Names that the interfaces use, so that random objects come close to real ones.
const NAMES: [&str; 16] = [
    "choices",
    "delta",
    "content",
    "text",
    "usage",
    "completion_tokens",
    "error",
    "code",
    "message",
    "messages",
    "prompt",
    "max_tokens",
    "reply",
    "values",
    "finish_reason",
    "index",
];

/// Builds a JSON value from random numbers.
fn build(numbers: &mut impl Iterator<Item = u8>, depth: u8) -> Value {
    let next = numbers.next().unwrap_or(0);
    let name = NAMES[(next >> 3) as usize % NAMES.len()];
    match next % 8 {
        0 => Value::Null,
        1 => json!(name),
        2 => json!(u64::from(next).pow(8)),
        3 => json!(-1.5),
        4 => json!(next > 127),
        _ if depth == 0 => json!({}),
        5 => json!([build(numbers, depth - 1)]),
        _ => {
            let first = build(numbers, depth - 1);
            let second = NAMES[numbers.next().unwrap_or(0) as usize % NAMES.len()];
            json!({ name: first, second: build(numbers, depth - 1) })
        }
    }
}

#[test]
fn chunks_are_read_or_refused() {
    fn property(numbers: Vec<u8>) -> bool {
        let value = build(&mut numbers.into_iter(), 5);
        let decoded = ChunkDecoder::default().decode(&value.to_string());
        !matches!(decoded, Ok(Some(AnswerEvent::End { .. })))
    }
    check(3).quickcheck(property as fn(Vec<u8>) -> bool);
}

#[test]
fn replies_are_read_or_refused() {
    fn property(numbers: Vec<u8>, bytes: Vec<u8>) -> bool {
        let value = build(&mut numbers.into_iter(), 5);
        let from_value = serde_json::from_value::<WireReply>(value);
        let from_bytes = serde_json::from_slice::<WireReply>(&bytes);
        from_value.is_err() && from_bytes.is_err()
    }
    check(4).quickcheck(property as fn(Vec<u8>, Vec<u8>) -> bool);
}

#[test]
fn values_survive_the_wire() {
    fn property(bytes: Vec<u8>) -> bool {
        let stored = WireStored {
            key: "k".parse().unwrap(),
            value: Some(WireValue::from(bytes.clone())),
            version: StoreVersion(1),
        };
        let text = serde_json::to_string(&stored).unwrap();
        let read: WireStored = serde_json::from_str(&text).unwrap();
        read.into_stored().unwrap().value == Some(bytes)
    }
    check(5).quickcheck(property as fn(Vec<u8>) -> bool);
    for digits in ["0", "0g", "ä"] {
        assert_eq!(WireValue::Hex(digits.into()).into_bytes(), None);
    }
}

#[test]
fn callers_bodies_are_read_or_refused() {
    fn property(numbers: Vec<u8>, generated: String, tokens: u8) -> bool {
        let value = build(&mut numbers.into_iter(), 5);
        let body = value.to_string();
        let tokens = Tokens(u64::from(tokens));
        [Dialect::Chat, Dialect::Completion].iter().all(|dialect| {
            prompt_text(*dialect, &value);
            match engine_body(*dialect, body.as_bytes(), &generated, tokens) {
                Ok(_) => value.is_object(),
                Err(failure) => matches!(failure, AttemptFailure::Status { status: 400, .. }),
            }
        })
    }
    check(6).quickcheck(property as fn(Vec<u8>, String, u8) -> bool);
}

/// Fails when `count` in `endpoint/chunk.rs` ignores the engine's own figure.
#[test]
fn tokens_are_counted_once() {
    let mut decoder = ChunkDecoder::default();
    let chunk = |text: &str, total: u64| {
        let choice = json!({ "index": 0, "delta": { "content": text }, "finish_reason": null });
        json!({ "choices": [choice], "usage": { "completion_tokens": total } }).to_string()
    };
    let piece = |text: &str, tokens| {
        let text = text.into();
        Ok(Some(AnswerEvent::Chunk { text, tokens }))
    };
    assert_eq!(decoder.decode(&chunk("ab", 3)), piece("ab", 3));
    assert_eq!(decoder.decode(&chunk("c", 4)), piece("c", 1));
    assert_eq!(decoder.decode(&chunk("", 4)), Ok(None));
    assert_eq!(decoder.decode(&chunk("d", 2)), piece("d", 0));
    let early = decoder.decode("[DONE]");
    assert!(
        matches!(early, Err(AttemptFailure::Protocol { .. })),
        "{early:?}"
    );
}

#[test]
fn errors_within_a_stream() {
    let error = json!({ "error": { "code": 507, "message": "no memory" } }).to_string();
    let expected = AttemptFailure::Status {
        status: 507,
        message: "no memory".into(),
    };
    assert_eq!(ChunkDecoder::default().decode(&error), Err(expected));
    let call = json!({ "choices": [{ "delta": { "tool_calls": [{}] } }] }).to_string();
    let refused = ChunkDecoder::default().decode(&call);
    assert!(
        matches!(refused, Err(AttemptFailure::Protocol { .. })),
        "{refused:?}"
    );
}

#[test]
fn bodies_are_continued() {
    let body = br#"{"messages":[{"role":"user","content":"q"}],"max_tokens":9,"stream":false}"#;
    let sent = engine_body(Dialect::Chat, body, "ab", Tokens(2)).unwrap();
    let sent: Value = serde_json::from_slice(&sent.unwrap()).unwrap();
    let last = json!({ "role": "assistant", "content": "ab" });
    assert_eq!(sent["messages"][1], last);
    assert_eq!(
        (&sent["max_tokens"], &sent["stream"]),
        (&json!(7), &json!(true))
    );
    assert_eq!(sent["continue_final_message"], json!(true));
    assert_eq!(sent["add_generation_prompt"], json!(false));
    let done = engine_body(Dialect::Chat, body, "abc", Tokens(9));
    assert_eq!(done, Ok(None));
    let array = engine_body(Dialect::Completion, br#"{"prompt":["a"]}"#, "b", Tokens(1));
    assert!(array.is_err());
}
