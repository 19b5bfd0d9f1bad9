//! A connection with what was received and not yet used.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use super::head::{HeadError, RequestHead};
use bytes::BytesMut;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Room that is made before each read, in bytes.
const READ_RESERVE_BYTES: usize = 8 << 10;
/// Bytes that a caller may send ahead before they are left in the network.
const MAX_READ_AHEAD: usize = 64 << 10;
/// Time after which sent bytes without an acknowledgement end the connection: longer than
/// some repetitions of a lost packet.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(3);

/// A connection with its receive buffer.
#[derive(Debug)]
pub struct Conn {
    io: TcpStream,
    /// Received and not yet used.
    pub buf: BytesMut,
}

impl Conn {
    /// Wraps a connection that was accepted or made.
    pub fn new(io: TcpStream) -> Self {
        let socket = SockRef::from(&io);
        // Without these the connection still works, only later.
        let _ = socket.set_tcp_nodelay(true);
        let _ = socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT));
        Self {
            io,
            buf: BytesMut::new(),
        }
    }

    /// Connects to `address`.
    ///
    /// # Errors
    ///
    /// The system's error, or [`io::ErrorKind::TimedOut`] after `limit`.
    pub async fn connect(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        let connected = timeout(limit, TcpStream::connect(address)).await;
        Ok(Self::new(connected.map_err(|_| io::ErrorKind::TimedOut)??))
    }

    /// Receives more; returns the number of bytes, which is zero at the end.
    ///
    /// # Errors
    ///
    /// The system's error. Nothing is lost if the call is dropped before it ends.
    pub async fn fill(&mut self) -> io::Result<usize> {
        self.buf.reserve(READ_RESERVE_BYTES);
        self.io.read_buf(&mut self.buf).await
    }

    /// Receives the head of a request; `None` if the other side ends before it is whole.
    ///
    /// # Errors
    ///
    /// [`HeadError`] if it cannot be used.
    pub async fn request_head(&mut self, max: usize) -> Result<Option<RequestHead>, HeadError> {
        loop {
            if let Some(head) = RequestHead::take(&mut self.buf, max)? {
                return Ok(Some(head));
            }
            if !matches!(self.fill().await, Ok(1..)) {
                return Ok(None);
            }
        }
    }

    /// Waits until the other side has closed or broken the connection.
    pub async fn closed(&mut self) {
        while self.buf.len() <= MAX_READ_AHEAD {
            match self.fill().await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
        std::future::pending::<()>().await;
    }

    /// Tells whether an unused connection is still open and nothing came on it.
    pub fn is_open_and_idle(&mut self) -> bool {
        if !self.buf.is_empty() {
            return false;
        }
        let mut byte = [0];
        let read = self.io.try_read(&mut byte);
        matches!(read, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Sends all of `data`, within `limit`.
    ///
    /// # Errors
    ///
    /// The system's error, or [`io::ErrorKind::TimedOut`].
    pub async fn send(&mut self, data: &[u8], limit: Duration) -> io::Result<()> {
        let sent = timeout(limit, self.io.write_all(data)).await;
        sent.map_err(|_| io::ErrorKind::TimedOut)?
    }

    /// Sends `data` and counts what the system took in `written`, also if the call fails or
    /// is dropped. Stops early when the other side has begun to answer: it may not read the
    /// rest before its answer is read. Returns whether all was sent.
    ///
    /// # Errors
    ///
    /// The system's error.
    pub async fn send_counted(&mut self, data: &[u8], written: &mut usize) -> io::Result<bool> {
        let would_block = |error: &io::Error| error.kind() == io::ErrorKind::WouldBlock;
        while *written < data.len() {
            match self.io.try_write(&data[*written..]) {
                Ok(count) => *written += count,
                Err(error) if would_block(&error) => {
                    let ready = self
                        .io
                        .ready(Interest::READABLE | Interest::WRITABLE)
                        .await?;
                    if ready.is_readable() && self.try_fill()? {
                        return Ok(false);
                    }
                }
                Err(error) => return Err(error),
            }
        }
        Ok(true)
    }

    /// Reads what is there without waiting; returns whether anything or the end came.
    fn try_fill(&mut self) -> io::Result<bool> {
        self.buf.reserve(READ_RESERVE_BYTES);
        match self.io.try_read_buf(&mut self.buf) {
            Ok(_) => Ok(true),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(false),
            Err(error) => Err(error),
        }
    }

    /// Breaks the connection off, so that the other side cannot take it for an end in order.
    pub fn reset(&mut self) {
        // The connection ends anyway when it is dropped.
        let _ = SockRef::from(&self.io).set_linger(Some(Duration::ZERO));
    }

    /// Closes in order: what was sent still arrives.
    pub async fn close(mut self) {
        // The other side may be gone already.
        let _ = self.io.shutdown().await;
    }
}
