//! HTTP/1.1 on blocking sockets.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Start line and headers of a message; names are in lower case.
#[derive(Debug, Clone, Default)]
pub struct Head {
    pub start: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(known, _)| known == name)
            .map(|(_, value)| value.as_str())
    }

    /// Returns the second word of the start line: a target or a status.
    pub fn second(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.second().parse().unwrap_or(0)
    }

    pub fn is_chunked(&self) -> bool {
        self.get("transfer-encoding").is_some()
    }

    pub fn length(&self) -> Option<usize> {
        self.get("content-length")?.parse().ok()
    }

    pub fn closes(&self) -> bool {
        self.get("connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

pub struct Conn {
    pub io: TcpStream,
    buf: Vec<u8>,
    at: usize,
    /// Until when reads may wait.
    pub until: Option<Instant>,
}

impl Conn {
    pub fn new(io: TcpStream) -> Self {
        let _ = io.set_nodelay(true);
        Self {
            io,
            buf: Vec::new(),
            at: 0,
            until: None,
        }
    }

    pub fn connect(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        TcpStream::connect_timeout(&address, limit).map(Self::new)
    }

    pub fn send(&mut self, data: &[u8]) -> io::Result<()> {
        self.io.write_all(data)
    }

    /// Reads more bytes; `false` at the end of the connection.
    fn fill(&mut self) -> io::Result<bool> {
        let wait = match self.until {
            Some(until) => {
                let left = until.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    return Err(ErrorKind::TimedOut.into());
                }
                Some(left)
            }
            None => None,
        };
        self.io.set_read_timeout(wait)?;
        if self.at > 0 {
            self.buf.drain(..self.at);
            self.at = 0;
        }
        let mut chunk = [0; 16 << 10];
        let count = self.io.read(&mut chunk)?;
        self.buf.extend_from_slice(&chunk[..count]);
        Ok(count > 0)
    }

    fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            let rest = &self.buf[self.at..];
            if let Some(end) = rest.iter().position(|byte| *byte == b'\n') {
                let line = String::from_utf8_lossy(&rest[..end]).trim_end().to_owned();
                self.at += end + 1;
                return Ok(Some(line));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    /// Reads a head; `None` if the connection ends before it.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        let Some(start) = self.line()? else {
            return Ok(None);
        };
        let mut head = Head {
            start,
            headers: Vec::new(),
        };
        loop {
            match self.line()? {
                None => return Ok(None),
                Some(line) if line.is_empty() => return Ok(Some(head)),
                Some(line) => {
                    let (name, value) = line.split_once(':').unwrap_or((&line, ""));
                    let name = name.to_ascii_lowercase();
                    head.headers.push((name, value.trim().to_owned()));
                }
            }
        }
    }

    fn exactly(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buf.len() - self.at < count {
            if !self.fill()? {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
        let data = self.buf[self.at..self.at + count].to_vec();
        self.at += count;
        Ok(data)
    }

    /// Reads the next chunk of a chunked body; `None` at its end.
    pub fn chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        let line = self.line()?.ok_or(ErrorKind::UnexpectedEof)?;
        let size = line.split(';').next().unwrap_or_default();
        let size = usize::from_str_radix(size, 16).map_err(|_| ErrorKind::InvalidData)?;
        let data = self.exactly(size)?;
        self.line()?.ok_or(ErrorKind::UnexpectedEof)?;
        Ok((size > 0).then_some(data))
    }

    /// Reads a body with a length or in chunks; a message with neither has none.
    pub fn body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if head.is_chunked() {
            let mut body = Vec::new();
            while let Some(chunk) = self.chunk()? {
                body.extend_from_slice(&chunk);
            }
            return Ok(body);
        }
        self.exactly(head.length().unwrap_or(0))
    }
}

/// Decodes a query parameter.
pub fn parameter(target: &str, name: &str) -> Option<String> {
    let (_, query) = target.split_once('?')?;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.find(|(key, _)| *key == name)?;
    let mut out = Vec::new();
    let mut bytes = value.bytes();
    while let Some(byte) = bytes.next() {
        match byte {
            b'%' => {
                let digits = [bytes.next()?, bytes.next()?];
                let digits = std::str::from_utf8(&digits).ok()?;
                out.push(u8::from_str_radix(digits, 16).ok()?);
            }
            b'+' => out.push(b' '),
            other => out.push(other),
        }
    }
    String::from_utf8(out).ok()
}
