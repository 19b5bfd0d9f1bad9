//! The relay: cuts, and flows that go silent while new ones work, over TCP and UDP.

use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::thread;
use std::time::Duration;

use laburnumstall_standins::network::Relay;

const WAIT: Duration = Duration::from_secs(10);
const SILENCE: Duration = Duration::from_millis(100);

/// Starts a server that sends back what it receives, until the process ends.
fn tcp_echo() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            thread::spawn(move || std::io::copy(&mut &stream, &mut &stream));
        }
    });
    address
}

fn udp_echo() -> SocketAddr {
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = socket.local_addr().unwrap();
    thread::spawn(move || {
        let mut buf = [0; 64];
        while let Ok((size, source)) = socket.recv_from(&mut buf) {
            socket.send_to(&buf[..size], source).unwrap();
        }
    });
    address
}

fn connect(relay: &Relay) -> TcpStream {
    let stream = TcpStream::connect(relay.address()).unwrap();
    stream.set_read_timeout(Some(WAIT)).unwrap();
    stream
}

fn echo(stream: &mut TcpStream) -> std::io::Result<[u8; 2]> {
    let mut buf = [0; 2];
    stream.write_all(b"hi")?;
    stream.read_exact(&mut buf)?;
    Ok(buf)
}

fn udp_client(relay: &Relay) -> UdpSocket {
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    socket.connect(relay.address()).unwrap();
    socket.set_read_timeout(Some(WAIT)).unwrap();
    socket
}

fn udp_exchange(socket: &UdpSocket) -> std::io::Result<[u8; 2]> {
    let mut buf = [0; 2];
    socket.send(b"hi")?;
    socket.recv(&mut buf)?;
    Ok(buf)
}

#[test]
fn silent_connections_stay_open() {
    let relay = Relay::tcp(tcp_echo()).unwrap();
    let mut old = connect(&relay);
    assert_eq!(&echo(&mut old).unwrap(), b"hi");
    relay.silence_existing();
    old.set_read_timeout(Some(SILENCE)).unwrap();
    let silent = echo(&mut old).unwrap_err();
    assert_eq!(silent.kind(), ErrorKind::WouldBlock);
    assert_eq!(&echo(&mut connect(&relay)).unwrap(), b"hi");
    assert_eq!(relay.flows(), 2);
    relay.close().unwrap();
}

#[test]
fn cut_breaks_and_refuses() {
    let relay = Relay::tcp(tcp_echo()).unwrap();
    let mut old = connect(&relay);
    assert_eq!(&echo(&mut old).unwrap(), b"hi");
    relay.cut();
    let broken = echo(&mut old).unwrap_err();
    assert_ne!(broken.kind(), ErrorKind::WouldBlock);
    let refused = loop {
        match TcpStream::connect(relay.address()) {
            Ok(_) => thread::yield_now(),
            // The listener closed while the connection waited to be accepted.
            Err(error) if error.kind() == ErrorKind::ConnectionReset => {}
            Err(error) => break error,
        }
    };
    assert_eq!(refused.kind(), ErrorKind::ConnectionRefused);
    relay.mend();
    let mut mended = TcpStream::connect(relay.address());
    while mended.is_err() {
        thread::yield_now();
        mended = TcpStream::connect(relay.address());
    }
    assert_eq!(&echo(&mut mended.unwrap()).unwrap(), b"hi");
    relay.close().unwrap();
}

#[test]
fn silent_datagrams_from_old_ports() {
    let relay = Relay::udp(udp_echo()).unwrap();
    let old = udp_client(&relay);
    assert_eq!(&udp_exchange(&old).unwrap(), b"hi");
    relay.silence_existing();
    old.set_read_timeout(Some(SILENCE)).unwrap();
    let silent = udp_exchange(&old).unwrap_err();
    assert_eq!(silent.kind(), ErrorKind::WouldBlock);
    let new = udp_client(&relay);
    assert_eq!(&udp_exchange(&new).unwrap(), b"hi");
    relay.cut();
    new.set_read_timeout(Some(SILENCE)).unwrap();
    assert!(udp_exchange(&new).is_err());
    relay.mend();
    new.set_read_timeout(Some(WAIT)).unwrap();
    assert_eq!(&udp_exchange(&new).unwrap(), b"hi");
    relay.close().unwrap();
}
