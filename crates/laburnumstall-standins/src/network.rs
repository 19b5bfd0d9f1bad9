//! A relay on loopback with a faulty network in it, for TCP connections or UDP datagrams.
//!
//! A connection, or a UDP source address, is a flow. Silent flows stay open and carry
//! nothing, as when a middlebox has dropped their state; new flows work.

use std::collections::btree_map::{BTreeMap, Entry};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::watch;

use crate::gate::{ConnectionNumber, Gate};

/// Largest piece that is relayed at once, in bytes.
const BUFFER_BYTES: usize = 64 * 1024;

/// What a relay is told to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mode {
    Open,
    Cut,
    Closed,
}

/// A running relay.
pub struct Relay {
    address: SocketAddr,
    link: Arc<Link>,
    thread: JoinHandle<io::Result<()>>,
}

struct Link {
    target: SocketAddr,
    gate: Gate,
    mode: watch::Sender<Mode>,
}

impl Relay {
    /// Starts a relay of TCP connections to `target`. Fails if no port can be had.
    pub fn tcp(target: SocketAddr) -> io::Result<Self> {
        let listener = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        Self::start(target, address, async move |link| {
            run_tcp(link, listener).await
        })
    }

    /// Starts a relay of UDP datagrams to `target`. Fails if no port can be had.
    pub fn udp(target: SocketAddr) -> io::Result<Self> {
        let socket = std::net::UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
        socket.set_nonblocking(true)?;
        let address = socket.local_addr()?;
        Self::start(target, address, async move |link| {
            run_udp(link, UdpSocket::from_std(socket)?).await
        })
    }

    fn start<F>(target: SocketAddr, address: SocketAddr, run: F) -> io::Result<Self>
    where
        F: AsyncFnOnce(Arc<Link>) -> io::Result<()> + Send + 'static,
    {
        let link = Arc::new(Link {
            target,
            gate: Gate::default(),
            mode: watch::Sender::new(Mode::Open),
        });
        let shared = link.clone();
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let thread = thread::Builder::new()
            .name("relay".into())
            .spawn(move || runtime.block_on(run(shared)))?;
        Ok(Self {
            address,
            link,
            thread,
        })
    }

    /// Returns the address to use in place of the target's.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of flows so far.
    pub fn flows(&self) -> u64 {
        self.link.gate.accepted()
    }

    /// Delays each piece by `delay`, in both directions.
    pub fn set_delay(&self, delay: Duration) {
        self.link.gate.set_delay(delay);
    }

    /// Silences the flows of now for good; new ones work.
    pub fn silence_existing(&self) {
        self.link.gate.silence_existing();
    }

    /// Breaks all connections and refuses new ones; loses all datagrams.
    pub fn cut(&self) {
        self.link.mode.send_replace(Mode::Cut);
    }

    /// Ends a cut.
    pub fn mend(&self) {
        self.link.mode.send_replace(Mode::Open);
    }

    /// Stops the relay.
    ///
    /// # Errors
    ///
    /// Returns the error that ended the relay before.
    pub fn close(self) -> io::Result<()> {
        self.link.mode.send_replace(Mode::Closed);
        self.thread
            .join()
            .unwrap_or_else(|panic| std::panic::resume_unwind(panic))
    }
}

impl Link {
    /// Waits until the mode is the given one; false if the relay is closed.
    async fn wait_for(&self, wanted: Mode) -> bool {
        let mut mode = self.mode.subscribe();
        let reached = mode.wait_for(|mode| *mode == wanted || *mode == Mode::Closed);
        reached.await.is_ok_and(|mode| *mode == wanted)
    }

    /// Waits until the flows are broken.
    async fn broken(&self) {
        let mut mode = self.mode.subscribe();
        // The sender lives as long as the link.
        let _ = mode.wait_for(|mode| *mode != Mode::Open).await;
    }
}

async fn run_tcp(link: Arc<Link>, first: std::net::TcpListener) -> io::Result<()> {
    first.set_nonblocking(true)?;
    let address = first.local_addr()?;
    let mut listener = TcpListener::from_std(first)?;
    loop {
        tokio::select! {
            () = link.broken() => {}
            accepted = listener.accept() => {
                tokio::spawn(carry(link.clone(), accepted?.0));
                continue;
            }
        }
        drop(listener);
        if !link.wait_for(Mode::Open).await {
            return Ok(());
        }
        listener = TcpListener::bind(address).await?;
    }
}

/// Carries one connection until either end closes it.
async fn carry(link: Arc<Link>, near: TcpStream) -> io::Result<()> {
    let flow = link.gate.next_connection();
    let far = TcpStream::connect(link.target).await?;
    tokio::select! {
        () = link.broken() => Ok(()),
        end = copy(&link, flow, &near, &far) => end,
        end = copy(&link, flow, &far, &near) => end,
    }
}

async fn copy(
    link: &Link,
    flow: ConnectionNumber,
    from: &TcpStream,
    to: &TcpStream,
) -> io::Result<()> {
    let mut buf = vec![0; BUFFER_BYTES];
    loop {
        let size = read(from, &mut buf).await?;
        link.gate.pause().await;
        if link.gate.is_silent(flow) {
            if size == 0 {
                // The other end must not learn of the end.
                std::future::pending::<()>().await;
            }
        } else if size == 0 {
            return Ok(());
        } else {
            write(to, &buf[..size]).await?;
        }
    }
}

async fn read(stream: &TcpStream, buf: &mut [u8]) -> io::Result<usize> {
    loop {
        stream.readable().await?;
        match stream.try_read(buf) {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            result => return result,
        }
    }
}

async fn write(stream: &TcpStream, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        stream.writable().await?;
        match stream.try_write(bytes) {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            result => bytes = &bytes[result?..],
        }
    }
    Ok(())
}

/// A UDP flow: the source's number and the socket that stands for it at the target.
#[derive(Clone)]
struct UdpFlow {
    number: ConnectionNumber,
    far: Arc<UdpSocket>,
}

async fn run_udp(link: Arc<Link>, near: UdpSocket) -> io::Result<()> {
    let near = Arc::new(near);
    let mut flows: BTreeMap<SocketAddr, UdpFlow> = BTreeMap::new();
    let mut buf = vec![0; BUFFER_BYTES];
    loop {
        let (size, source) = tokio::select! {
            _ = link.wait_for(Mode::Closed) => return Ok(()),
            received = near.recv_from(&mut buf) => received?,
        };
        let flow = match flows.entry(source) {
            Entry::Occupied(known) => known.get().clone(),
            Entry::Vacant(new) => new.insert(open_flow(&link, &near, source).await?).clone(),
        };
        let link = link.clone();
        let datagram = buf[..size].to_vec();
        tokio::spawn(async move {
            if passes(&link, flow.number).await {
                // A datagram that cannot be sent is lost.
                let _ = flow.far.send(&datagram).await;
            }
        });
    }
}

async fn open_flow(
    link: &Arc<Link>,
    near: &Arc<UdpSocket>,
    source: SocketAddr,
) -> io::Result<UdpFlow> {
    let far = Arc::new(UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?);
    far.connect(link.target).await?;
    let number = link.gate.next_connection();
    let flow = UdpFlow { number, far };
    tokio::spawn(answer_flow(
        link.clone(),
        near.clone(),
        source,
        flow.clone(),
    ));
    Ok(flow)
}

/// Carries the target's datagrams back to the source.
async fn answer_flow(link: Arc<Link>, near: Arc<UdpSocket>, source: SocketAddr, flow: UdpFlow) {
    let mut buf = vec![0; BUFFER_BYTES];
    loop {
        // An error reports an earlier datagram that nobody received.
        let Ok(size) = flow.far.recv(&mut buf).await else {
            continue;
        };
        if passes(&link, flow.number).await {
            let _ = near.send_to(&buf[..size], source).await;
        }
    }
}

/// Delays a datagram and tells whether it arrives.
async fn passes(link: &Link, flow: ConnectionNumber) -> bool {
    link.gate.pause().await;
    *link.mode.borrow() == Mode::Open && !link.gate.is_silent(flow)
}
