//! HTTP/1.1 connections, for the details that HTTP libraries hide.
//!
//! Whether a request may be retried depends on how much of it was written. Whether a
//! connection may be reused depends on whether its last response ended exactly where its
//! framing says. `httparse` parses the heads; framing is strict to prevent request smuggling.
//!
//! All responses of endpoints, of the key-value service and of the platform are read here, so that
//! one rule tells a response from bytes that are none: RFC 9110 and RFC 9112.

mod body;
mod client;
mod conn;
mod head;

pub use body::{BodyError, BodyReader, write_chunk};
pub use client::{Connection, Connections, OutgoingRequest, Response, ResponseError, SendError};
pub use conn::Conn;
pub use head::{
    Framing, HeadError, HeadProgress, Header, RequestHead, ResponseHead, is_hop_by_hop,
};

/// Headers of one request or response.
pub trait HeaderLines {
    /// Returns all values of a header by its lower-case name; `None` for one that is not text.
    fn values<'a>(&'a self, name: &'a str) -> impl Iterator<Item = Option<&'a str>>;

    /// Returns the value of a header by its lower-case name; `None` if it is missing,
    /// repeated or not text.
    fn value<'a>(&'a self, name: &'a str) -> Option<&'a str> {
        let mut values = self.values(name);
        let value = values.next()?;
        value.filter(|_| values.next().is_none())
    }
}
