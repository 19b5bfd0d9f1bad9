//! HTTP/1.1 connections, for the details that HTTP libraries hide from the gateway.
//!
//! Whether a request may be retried depends on how much of it was written. Whether a
//! connection may be reused depends on whether its last response ended exactly where its
//! framing says. `httparse` parses the heads; framing is strict to prevent request smuggling.

mod body;
mod conn;
mod head;

pub use body::{BodyError, BodyReader, write_chunk};
pub use conn::Conn;
pub use head::{
    Framing, HeadError, HeadProgress, Header, RequestHead, ResponseHead, is_hop_by_hop,
};
