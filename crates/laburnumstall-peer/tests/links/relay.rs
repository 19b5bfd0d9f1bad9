//! A relay of datagrams that loses track of connections, as a middlebox does.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use tokio::net::UdpSocket;

/// Passes datagrams between callers and one target, until their flows are cut.
pub(crate) struct Relay {
    pub(crate) address: SocketAddr,
    flows: Arc<Mutex<BTreeMap<SocketAddr, Flow>>>,
}

struct Flow {
    upstream: Arc<UdpSocket>,
    is_cut: bool,
}

impl Relay {
    pub(crate) async fn start(target: SocketAddr) -> Self {
        let socket = Arc::new(open().await);
        let address = socket.local_addr().expect("an address");
        let flows = Arc::default();
        tokio::spawn(pass_on(socket, target, Arc::clone(&flows)));
        Self { address, flows }
    }

    /// Drops everything of the present flows from now on; new ones work.
    pub(crate) fn cut(&self) {
        let mut flows = self.flows.lock().expect("the flows");
        flows.values_mut().for_each(|flow| flow.is_cut = true);
    }
}

async fn open() -> UdpSocket {
    UdpSocket::bind("127.0.0.1:0").await.expect("a socket")
}

async fn pass_on(
    socket: Arc<UdpSocket>,
    target: SocketAddr,
    flows: Arc<Mutex<BTreeMap<SocketAddr, Flow>>>,
) {
    let mut buf = [0; 2048];
    while let Ok((length, caller)) = socket.recv_from(&mut buf).await {
        if !flows.lock().expect("the flows").contains_key(&caller) {
            let upstream = Arc::new(open().await);
            upstream.connect(target).await.expect("a target");
            let back = pass_back(
                Arc::clone(&socket),
                Arc::clone(&upstream),
                caller,
                Arc::clone(&flows),
            );
            tokio::spawn(back);
            let is_cut = false;
            let flow = Flow { upstream, is_cut };
            flows.lock().expect("the flows").insert(caller, flow);
        }
        let upstream = open_flow(&flows, caller);
        if let Some(upstream) = upstream {
            upstream.send(&buf[..length]).await.expect("a target");
        }
    }
}

async fn pass_back(
    socket: Arc<UdpSocket>,
    upstream: Arc<UdpSocket>,
    caller: SocketAddr,
    flows: Arc<Mutex<BTreeMap<SocketAddr, Flow>>>,
) {
    let mut buf = [0; 2048];
    while let Ok(length) = upstream.recv(&mut buf).await {
        if open_flow(&flows, caller).is_some() {
            let sent = socket.send_to(&buf[..length], caller).await;
            sent.expect("a caller");
        }
    }
}

fn open_flow(
    flows: &Mutex<BTreeMap<SocketAddr, Flow>>,
    caller: SocketAddr,
) -> Option<Arc<UdpSocket>> {
    let flows = flows.lock().expect("the flows");
    let flow = flows.get(&caller)?;
    (!flow.is_cut).then(|| Arc::clone(&flow.upstream))
}
