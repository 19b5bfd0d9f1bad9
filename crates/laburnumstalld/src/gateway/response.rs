//! Heads of forwarded responses, and what becomes of the caller's connection after them.

use super::context::Context;
use super::listener::{ConnectionAction, Request, reason_phrase};
use crate::http1::{Framing, ResponseHead, is_hop_by_hop};

/// Builds the head of a forwarded response; the body is chunked if `length` is `None`.
pub(super) fn response_head(
    head: &ResponseHead,
    length: Option<usize>,
    should_close: bool,
) -> Vec<u8> {
    let mut out = format!(
        "HTTP/1.1 {} {}\r\n",
        head.status,
        reason_phrase(head.status)
    )
    .into_bytes();
    for header in &head.headers {
        if !is_hop_by_hop(&head.headers, &header.name) {
            out.extend_from_slice(header.name.as_bytes());
            out.extend_from_slice(b": ");
            out.extend_from_slice(&header.value);
            out.extend_from_slice(b"\r\n");
        }
    }
    match length {
        _ if head.status == 204 || head.status == 304 => {}
        Some(length) if head.framing != Framing::Empty || length == 0 => {
            out.extend_from_slice(format!("content-length: {length}\r\n").as_bytes());
        }
        Some(_) => {}
        None => out.extend_from_slice(b"transfer-encoding: chunked\r\n"),
    }
    if should_close {
        out.extend_from_slice(b"connection: close\r\n");
    }
    out.extend_from_slice(b"\r\n");
    out
}

/// Returns whether the caller's connection closes after this request.
pub(super) fn should_close(cx: &Context, request: &Request) -> bool {
    request.head.should_close || cx.with_gateway(|gateway, _| gateway.is_stopping())
}

/// Returns what to do with a caller's connection after a response.
pub(super) fn connection_action(is_sent: bool, should_close: bool) -> ConnectionAction {
    match (is_sent, should_close) {
        (false, _) => ConnectionAction::Abort,
        (true, true) => ConnectionAction::Close,
        (true, false) => ConnectionAction::Keep,
    }
}
