//! A TCP connection with a receive buffer.

use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::body::{BodyError, BodyReader};
use super::head::{HeadError, HeadProgress, RequestHead, ResponseHead};
use crate::turn::ReadTurn;

/// Buffer capacity reserved before each read, in bytes.
const READ_RESERVE_BYTES: usize = 8 << 10;
/// Bytes that a caller may pipeline before reads stop and TCP flow control holds it back.
const MAX_READ_AHEAD: usize = 64 << 10;
/// Time after which unacknowledged data ends the connection: longer than some
/// retransmissions of a lost packet.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(3);

/// A TCP connection and its receive buffer.
#[derive(Debug)]
pub struct Conn {
    io: TcpStream,
    /// Bytes received but not yet parsed.
    pub buf: BytesMut,
    turn: ReadTurn,
    sends: u64,
    /// Rest of a request whose peer responds before it has taken all of it.
    unsent: Bytes,
    /// First error of the socket. The kernel reports a reset once, to a read or a write; a read after
    /// that sees an end of stream like that of a graceful close.
    failure: Option<io::ErrorKind>,
}

impl Conn {
    /// Wraps a stream and sets its TCP options.
    pub fn new(io: TcpStream) -> Self {
        let socket = SockRef::from(&io);
        // Without these options the connection still works, but with higher latency.
        let _ = socket.set_tcp_nodelay(true);
        let _ = socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT));
        Self {
            io,
            buf: BytesMut::new(),
            turn: ReadTurn::default(),
            sends: 0,
            unsent: Bytes::new(),
            failure: None,
        }
    }

    /// Connects to `address` within `limit`.
    ///
    /// # Errors
    ///
    /// The error of the connection attempt, or [`io::ErrorKind::TimedOut`] after `limit`.
    pub async fn connect(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        let connected = timeout(limit, TcpStream::connect(address)).await;
        Ok(Self::new(connected.map_err(|_| io::ErrorKind::TimedOut)??))
    }

    /// Receives more bytes into `buf`; returns their number, which is zero if the peer closed the
    /// connection gracefully.
    ///
    /// Sends the rest of the request meanwhile, if there is one: a peer may read all of it before it
    /// ends its response. Other tasks run from time to time, also if the peer writes as fast as it is
    /// read.
    ///
    /// # Errors
    ///
    /// The error of the read, or of an earlier read or write once no bytes are left. The call is cancel
    /// safe: dropping it loses no data.
    pub async fn fill(&mut self) -> io::Result<usize> {
        self.turn.wait().await;
        while !self.unsent.is_empty() {
            if let Some(count) = self.fill_or_send().await? {
                return Ok(count);
            }
        }
        self.buf.reserve(READ_RESERVE_BYTES);
        let mut has_waited = false;
        let mut read = pin!(self.io.read_buf(&mut self.buf));
        let received = poll_fn(|cx| {
            let polled = read.as_mut().poll(cx);
            has_waited |= polled.is_pending();
            polled
        })
        .await;
        let count = self.check_received(received)?;
        if has_waited {
            self.turn.restart();
        }
        self.turn.spend(count);
        Ok(count)
    }

    /// Receives more bytes if there are any, or else sends a part of the rest of the request.
    async fn fill_or_send(&mut self) -> io::Result<Option<usize>> {
        let interest = Interest::READABLE | Interest::WRITABLE;
        let ready = self.io.ready(interest).await?;
        if ready.is_readable()
            && let Some(count) = self.try_fill()?
        {
            self.turn.spend(count);
            return Ok(Some(count));
        }
        if ready.is_writable() {
            match self.io.try_write(&self.unsent) {
                Ok(count) => self.unsent.advance(count),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                // What was received before may be a whole response.
                Err(error) => {
                    self.failure.get_or_insert(error.kind());
                    self.unsent.clear();
                }
            }
        }
        Ok(None)
    }

    /// Receives a request head; `None` if the connection ends or fails before it is complete.
    ///
    /// # Errors
    ///
    /// [`HeadError`] if the head is invalid or larger than `max` bytes.
    pub async fn request_head(&mut self, max: usize) -> Result<Option<RequestHead>, HeadError> {
        let mut progress = HeadProgress::default();
        loop {
            if progress.may_parse(&mut self.buf, max)?
                && let Some(head) = RequestHead::take(&mut self.buf, max)?
            {
                return Ok(Some(head));
            }
            if !matches!(self.fill().await, Ok(1..)) {
                return Ok(None);
            }
        }
    }

    /// Receives the head of a response to a request with this method; `None` if the connection ends
    /// or fails before it is complete.
    ///
    /// # Errors
    ///
    /// [`HeadError`] if the head is invalid or larger than `max` bytes.
    pub async fn response_head(
        &mut self,
        method: &str,
        max: usize,
    ) -> Result<Option<ResponseHead>, HeadError> {
        let mut progress = HeadProgress::default();
        loop {
            if progress.may_parse(&mut self.buf, max)?
                && let Some(head) = ResponseHead::take(&mut self.buf, max, method)?
            {
                return Ok(Some(head));
            }
            if !matches!(self.fill().await, Ok(1..)) {
                return Ok(None);
            }
        }
    }

    /// Receives the head of the final response. Interim responses share `max`: a peer may send them
    /// without an end.
    ///
    /// # Errors
    ///
    /// Like [`Conn::response_head`].
    pub async fn final_response_head(
        &mut self,
        method: &str,
        max: usize,
    ) -> Result<Option<ResponseHead>, HeadError> {
        let mut left = max;
        loop {
            match self.response_head(method, left).await? {
                Some(head) if head.is_interim() => left -= head.len,
                head => return Ok(head),
            }
        }
    }

    /// Receives the next part of a body; `None` at its end.
    ///
    /// # Errors
    ///
    /// [`BodyError`] if the body is truncated or malformed.
    pub async fn body_part(&mut self, body: &mut BodyReader) -> Result<Option<Bytes>, BodyError> {
        loop {
            match body.next(&mut self.buf)? {
                Some(data) => return Ok(Some(data)),
                None if body.is_done() => return Ok(None),
                None => {}
            }
            match self.fill().await {
                Ok(0) => body.on_eof()?,
                Ok(_) => {}
                Err(_) => return Err(BodyError::Truncated),
            }
        }
    }

    /// Returns whether the last request was sent whole and nothing follows its response.
    pub fn is_between_messages(&self) -> bool {
        self.buf.is_empty() && self.unsent.is_empty()
    }

    /// Waits until the peer closes or resets the connection; never returns once the read-ahead
    /// limit is exceeded.
    pub async fn closed(&mut self) {
        while self.buf.len() <= MAX_READ_AHEAD {
            match self.fill().await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
        std::future::pending::<()>().await;
    }

    /// Returns whether an idle connection is still open and has no unread data.
    pub fn is_open_and_idle(&mut self) -> bool {
        if !self.buf.is_empty() {
            return false;
        }
        let mut byte = [0];
        let read = self.io.try_read(&mut byte);
        matches!(read, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Returns the number of sends so far, also of those that failed or were dropped midway.
    pub fn sends(&self) -> u64 {
        self.sends
    }

    /// Sends all of `data` within `limit`.
    ///
    /// # Errors
    ///
    /// The error of the write, or [`io::ErrorKind::TimedOut`] after `limit`.
    pub async fn send(&mut self, data: &[u8], limit: Duration) -> io::Result<()> {
        self.sends += 1;
        let sent = timeout(limit, self.io.write_all(data)).await;
        self.record_failure(sent.map_err(|_| io::ErrorKind::TimedOut)?)
    }

    /// Sends `data` and counts the bytes accepted by the kernel in `written`, even if the call
    /// fails or is dropped. When the peer starts to respond, it may not read the rest before its
    /// response is read: [`Conn::fill`] sends the rest then. Returns whether all was sent.
    ///
    /// # Errors
    ///
    /// The error of the socket.
    pub async fn send_counted(&mut self, data: Bytes, written: &mut usize) -> io::Result<bool> {
        while *written < data.len() {
            match self.io.try_write(&data[*written..]) {
                Ok(count) => *written += count,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    let ready = self
                        .io
                        .ready(Interest::READABLE | Interest::WRITABLE)
                        .await?;
                    if ready.is_readable() && self.try_fill()?.is_some() {
                        self.unsent = data.slice(*written..);
                        return Ok(false);
                    }
                }
                Err(error) => return self.record_failure(Err(error)),
            }
        }
        Ok(true)
    }

    /// Reads available bytes without waiting; returns their number, which is zero at end of stream, or
    /// `None` if there are none yet.
    fn try_fill(&mut self) -> io::Result<Option<usize>> {
        self.buf.reserve(READ_RESERVE_BYTES);
        match self.io.try_read_buf(&mut self.buf) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(None),
            received => self.check_received(received).map(Some),
        }
    }

    /// Turns an end of stream into the error that came before it.
    fn check_received(&mut self, received: io::Result<usize>) -> io::Result<usize> {
        match (self.record_failure(received)?, self.failure) {
            (0, Some(kind)) => Err(kind.into()),
            (count, _) => Ok(count),
        }
    }

    fn record_failure<T>(&mut self, result: io::Result<T>) -> io::Result<T> {
        result.inspect_err(|error| {
            self.failure.get_or_insert(error.kind());
        })
    }

    /// Makes the connection end with a TCP reset, so that the peer does not see a graceful close.
    pub fn reset(&mut self) {
        // On failure, the connection still closes when it is dropped.
        let _ = SockRef::from(&self.io).set_linger(Some(Duration::ZERO));
    }

    /// Closes the connection gracefully: data already sent still arrives.
    pub async fn close(mut self) {
        // The peer may have disconnected already.
        let _ = self.io.shutdown().await;
    }
}
