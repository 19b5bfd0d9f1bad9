//! HTTP/1.1 on blocking sockets: a server that starts a thread for each connection, and a client.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Stack of a thread that serves one connection.
const STACK: usize = 256 << 10;

#[derive(Debug, Default, Clone)]
pub struct Message {
    /// Request line or status line.
    pub line: String,
    /// Names are in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut named = self.headers.iter().filter(|(known, _)| known == name);
        named.next().map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or_default()
    }

    /// Returns a parameter of the query, decoded.
    pub fn parameter(&self, name: &str) -> Option<String> {
        let query = self.target().split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(known, _)| *known == name)
            .map(|(_, value)| decode(value))
    }

    pub fn should_close(&self) -> bool {
        self.header("connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

fn decode(text: &str) -> String {
    let mut out = Vec::new();
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        if byte != b'%' {
            out.push(byte);
            continue;
        }
        let digits = [bytes.next().unwrap_or(b'0'), bytes.next().unwrap_or(b'0')];
        let hex = std::str::from_utf8(&digits).unwrap_or_default();
        out.push(u8::from_str_radix(hex, 16).unwrap_or_default());
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Reads a head; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if message.line.is_empty() {
            message.line = line.to_owned();
        } else if line.is_empty() {
            return Ok(Some(message));
        } else if let Some((name, value)) = line.split_once(':') {
            let header = (name.to_ascii_lowercase(), value.trim().to_owned());
            message.headers.push(header);
        }
    }
}

/// Reads a body by its length or chunks; one with neither is empty.
pub fn read_body(reader: &mut impl BufRead, message: &mut Message) -> io::Result<()> {
    if let Some(length) = message.header("content-length") {
        let length = length.parse().map_err(|_| io::ErrorKind::InvalidData)?;
        message.body = vec![0; length];
        return reader.read_exact(&mut message.body);
    }
    if message.header("transfer-encoding").is_some() {
        while let Some(chunk) = read_chunk(reader)? {
            message.body.extend_from_slice(&chunk);
        }
    }
    Ok(())
}

/// Reads a chunk; `None` for the last one.
pub fn read_chunk(reader: &mut impl BufRead) -> io::Result<Option<Vec<u8>>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let size = line.trim_end().split(';').next().unwrap_or_default();
    let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
    let mut chunk = vec![0; size + 2];
    reader.read_exact(&mut chunk)?;
    chunk.truncate(size);
    Ok((size > 0).then_some(chunk))
}

/// A connection of a server.
pub struct Caller {
    pub reader: BufReader<TcpStream>,
}

impl Caller {
    pub fn new(io: TcpStream) -> Self {
        Self {
            reader: BufReader::new(io),
        }
    }

    pub fn close(self) {
        let _ = self.reader.get_ref().shutdown(Shutdown::Both);
    }

    pub fn send(&mut self, data: &[u8]) -> io::Result<()> {
        self.reader.get_mut().write_all(data)
    }

    pub fn reply(&mut self, status: u16, headers: &str, body: &[u8]) -> io::Result<()> {
        let head = format!(
            "HTTP/1.1 {status} X\r\n{headers}content-length: {}\r\n\r\n",
            body.len()
        );
        let mut message = head.into_bytes();
        message.extend_from_slice(body);
        self.send(&message)
    }
}

/// A server that serves until the process ends.
pub struct Server {
    pub address: SocketAddr,
}

impl Server {
    /// Serves each connection with `serve`, which returns when the connection is done.
    pub fn start(
        address: SocketAddr,
        serve: impl Fn(&mut Caller) -> io::Result<()> + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let serve = Arc::new(serve);
        spawn(move || accept(&listener, &serve));
        Ok(Self { address })
    }
}

fn accept<F>(listener: &TcpListener, serve: &Arc<F>)
where
    F: Fn(&mut Caller) -> io::Result<()> + Send + Sync + 'static,
{
    loop {
        let Ok((io, _)) = listener.accept() else {
            thread::sleep(Duration::from_millis(1));
            continue;
        };
        let _ = io.set_nodelay(true);
        let serve = Arc::clone(serve);
        spawn(move || {
            let mut caller = Caller::new(io);
            let _ = serve(&mut caller);
            caller.close();
        });
    }
}

pub fn spawn<T: Send + 'static>(f: impl FnOnce() -> T + Send + 'static) -> thread::JoinHandle<T> {
    let builder = thread::Builder::new().stack_size(STACK);
    builder.spawn(f).expect("a thread can be started")
}

/// A client's connection.
pub struct Link {
    pub reader: BufReader<TcpStream>,
}

impl Link {
    pub fn open(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        let io = TcpStream::connect_timeout(&address, limit)?;
        io.set_nodelay(true)?;
        Ok(Self {
            reader: BufReader::new(io),
        })
    }

    /// Sets the longest time without a byte.
    pub fn set_limit(&self, limit: Duration) -> io::Result<()> {
        self.reader
            .get_ref()
            .set_read_timeout(Some(limit.max(Duration::from_millis(1))))
    }

    pub fn send(&mut self, data: &[u8]) -> io::Result<()> {
        self.reader.get_mut().write_all(data)
    }

    pub fn head(&mut self) -> io::Result<Message> {
        let head = read_head(&mut self.reader)?;
        head.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }

    pub fn whole(&mut self) -> io::Result<Message> {
        let mut message = self.head()?;
        read_body(&mut self.reader, &mut message)?;
        Ok(message)
    }
}

/// Sends one request on a connection of its own.
pub fn call(address: SocketAddr, message: &str, limit: Duration) -> io::Result<Message> {
    let mut link = Link::open(address, limit)?;
    link.set_limit(limit)?;
    link.send(message.as_bytes())?;
    link.whole()
}
