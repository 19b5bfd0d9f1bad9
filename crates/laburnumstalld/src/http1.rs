//! HTTP/1.1 where the gateway has to see more of a connection than HTTP libraries show.
//!
//! Whether a request may be sent again depends on what was written of it, and whether a
//! connection may be used again on whether its last answer ended exactly where its length
//! said. Heads are parsed by `httparse`; framing is strict, so that no request can be
//! hidden in another.

mod body;
mod conn;
mod head;

pub use body::{BodyError, BodyReader, write_chunk};
pub use conn::Conn;
pub use head::{Framing, HeadError, Header, RequestHead, ResponseHead, is_hop_by_hop};
