//! Connections whose peer writes as fast as it is read.

use std::io::Write;
use std::time::Duration;

use laburnumstalld::http1::Conn;
use socket2::SockRef;
use tokio::net::TcpListener;

/// More than a reader may take before other tasks run.
const MAX_TURN: usize = 128 << 10;

/// A reader that never waits never yielded, so that its own deadline was not seen and other tasks
/// did not run.
#[test]
fn ready_bytes_keep_the_reader_from_yielding() {
    actix_rt::System::new().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        SockRef::from(&listener)
            .set_recv_buffer_size(4 << 20)
            .unwrap();
        let address = listener.local_addr().unwrap();
        std::thread::spawn(move || {
            let mut peer = std::net::TcpStream::connect(address).unwrap();
            peer.write_all(&[b'x'; 8 << 20]).unwrap_or_default();
        });
        let (io, _) = listener.accept().await.unwrap();
        // The peer fills the buffers of the connection.
        tokio::time::sleep(Duration::from_millis(200)).await;
        let mut conn = Conn::new(io);
        let mut received = 0;
        loop {
            conn.buf.clear();
            tokio::select! {
                biased;
                filled = conn.fill() => received += filled.unwrap(),
                () = std::future::ready(()) => break,
            }
            assert!(received <= MAX_TURN, "{received} bytes in one turn");
        }
    });
}
