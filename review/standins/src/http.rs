//! HTTP/1.1 over blocking sockets.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

pub struct Conn {
    pub io: TcpStream,
    pub buf: Vec<u8>,
}

#[derive(Debug, Clone)]
pub struct Head {
    /// Words of the first line.
    pub first: Vec<String>,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(known, _)| known == name)
            .map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first
            .get(1)
            .and_then(|word| word.parse().ok())
            .unwrap_or(0)
    }

    pub fn is_chunked(&self) -> bool {
        self.get("transfer-encoding") == Some("chunked")
    }
}

/// Value of a parameter of a query.
pub fn parameter(target: &str, name: &str) -> String {
    let query = target.split_once('?').map_or("", |(_, query)| query);
    for pair in query.split('&') {
        let (key, value) = pair.split_once('=').unwrap_or((pair, ""));
        if key == name {
            return decode_percent(value);
        }
    }
    String::new()
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = text
            .get(at + 1..at + 3)
            .and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[at], hex) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn ended() -> io::Error {
    io::Error::from(io::ErrorKind::UnexpectedEof)
}

impl Conn {
    pub fn new(io: TcpStream) -> Self {
        let _ = io.set_nodelay(true);
        Self {
            io,
            buf: Vec::new(),
        }
    }

    pub fn connect(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        TcpStream::connect_timeout(&address, limit).map(Self::new)
    }

    /// Reads more bytes, until `deadline`.
    pub fn fill(&mut self, deadline: Option<Instant>) -> io::Result<()> {
        let limit = match deadline {
            None => None,
            Some(at) => {
                let left = at.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    return Err(io::ErrorKind::TimedOut.into());
                }
                Some(left)
            }
        };
        self.io.set_read_timeout(limit)?;
        let mut data = [0; 16 << 10];
        match self.io.read(&mut data) {
            Ok(0) => Err(ended()),
            Ok(count) => {
                self.buf.extend_from_slice(&data[..count]);
                Ok(())
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                Err(io::ErrorKind::TimedOut.into())
            }
            Err(error) => Err(error),
        }
    }

    pub fn head(&mut self, deadline: Option<Instant>) -> io::Result<Head> {
        loop {
            let end = self.buf.windows(4).position(|part| part == b"\r\n\r\n");
            if let Some(end) = end {
                let text = String::from_utf8_lossy(&self.buf[..end]).into_owned();
                self.buf.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let first = lines.next().unwrap_or_default();
                let headers = lines.filter_map(|line| line.split_once(':'));
                return Ok(Head {
                    first: first.split(' ').map(str::to_owned).collect(),
                    headers: headers
                        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
                        .collect(),
                });
            }
            self.fill(deadline)?;
        }
    }

    pub fn exact(&mut self, len: usize, deadline: Option<Instant>) -> io::Result<Vec<u8>> {
        while self.buf.len() < len {
            self.fill(deadline)?;
        }
        Ok(self.buf.drain(..len).collect())
    }

    fn line(&mut self, deadline: Option<Instant>) -> io::Result<String> {
        loop {
            if let Some(end) = self.buf.windows(2).position(|part| part == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buf[..end]).into_owned();
                self.buf.drain(..end + 2);
                return Ok(line);
            }
            self.fill(deadline)?;
        }
    }

    /// Reads the next chunk of a chunked body; `None` at its end.
    pub fn chunk(&mut self, deadline: Option<Instant>) -> io::Result<Option<Vec<u8>>> {
        let line = self.line(deadline)?;
        let size = usize::from_str_radix(line.trim(), 16)
            .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let data = self.exact(size, deadline)?;
        self.line(deadline)?;
        Ok((size > 0).then_some(data))
    }

    /// Reads the whole body that a head announces.
    pub fn body(&mut self, head: &Head, deadline: Option<Instant>) -> io::Result<Vec<u8>> {
        if head.is_chunked() {
            let mut body = Vec::new();
            while let Some(chunk) = self.chunk(deadline)? {
                body.extend_from_slice(&chunk);
            }
            return Ok(body);
        }
        let len = head
            .get("content-length")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        self.exact(len, deadline)
    }

    pub fn send(&mut self, data: &[u8]) -> io::Result<()> {
        self.io.write_all(data)
    }

    pub fn reply(&mut self, status: u16, headers: &str, body: &[u8]) -> io::Result<()> {
        let head = format!(
            "HTTP/1.1 {status} -\r\n{headers}Content-Length: {}\r\n\r\n",
            body.len()
        );
        let mut message = head.into_bytes();
        message.extend_from_slice(body);
        self.send(&message)
    }
}
