//! Values as operators write them: durations, rates, sizes and names.

use std::time::Duration;

use laburnumstall_core::ids::MAX_ID_BYTES;

/// Longest name that is part of a path or of a store key, in bytes.
pub(crate) const MAX_NAME_BYTES: usize = 64;

/// Hexadecimal digits of a BLAKE3 digest.
pub(crate) const DIGEST_DIGITS: usize = 64;

// A name with the word "service/" before it must be a valid identifier.
const _: () = assert!(MAX_NAME_BYTES + 16 <= MAX_ID_BYTES);

/// Reads a duration such as `30s`, `0.5ms` or `1m 30s`.
pub(crate) fn duration(text: &str) -> Option<Duration> {
    humantime::parse_duration(text).ok()
}

/// Writes a duration so that [`duration`] reads it back.
pub(crate) fn duration_text(duration: Duration) -> String {
    humantime::format_duration(duration).to_string()
}

/// Tells whether a name can stand in a path and in a store key.
pub(crate) fn is_plain_name(text: &str) -> bool {
    let is_plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    let starts_well = text
        .bytes()
        .next()
        .is_some_and(|b| b.is_ascii_alphanumeric());
    starts_well && text.len() <= MAX_NAME_BYTES && text.bytes().all(is_plain)
}

/// Tells whether a text is a BLAKE3 digest in lower-case hexadecimal.
pub(crate) fn is_digest(text: &str) -> bool {
    let is_digit = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
    text.len() == DIGEST_DIGITS && text.bytes().all(is_digit)
}

/// Tells whether a text is an HTTP method in capitals.
pub(crate) fn is_method(text: &str) -> bool {
    !text.is_empty() && text.len() <= 16 && text.bytes().all(|b| b.is_ascii_uppercase())
}

/// Tells whether a text is the path of a call: visible, from `/`, without query.
pub(crate) fn is_path(text: &str) -> bool {
    let is_plain = |b: u8| b.is_ascii_graphic() && !matches!(b, b'?' | b'#');
    text.starts_with('/') && text.len() <= 256 && text.bytes().all(is_plain)
}
