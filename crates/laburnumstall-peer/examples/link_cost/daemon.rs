//! A daemon of the example, and two of them on threads of their own.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::mpsc as std_mpsc;
use std::thread;

use laburnumstall_core::ids::{DaemonId, Incarnation};
use laburnumstall_peer::{
    CertificateFingerprint, Identity, Lane, PeerEndpoint, PeerEvent, PeerTimeouts, Pins, SendFault,
};
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;

/// Events that wait for their reader.
const EVENTS: usize = 4096;

/// A message with a body of some size.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Message {
    pub(crate) number: u64,
    pub(crate) body: Vec<u8>,
}

impl Message {
    pub(crate) fn new(number: u64, bytes: usize) -> Self {
        let body = vec![7; bytes];
        Self { number, body }
    }
}

/// What another daemon needs to reach one.
#[derive(Debug, Clone)]
pub(crate) struct Contact {
    pub(crate) id: DaemonId,
    pub(crate) address: SocketAddr,
    fingerprint: CertificateFingerprint,
}

/// An endpoint with its events.
pub(crate) struct Daemon {
    pub(crate) id: DaemonId,
    pub(crate) endpoint: PeerEndpoint<Message>,
    pub(crate) rx: mpsc::Receiver<PeerEvent<Message>>,
    pins: Pins,
}

impl Daemon {
    pub(crate) fn start(number: u64) -> Self {
        let id = DaemonId {
            vm: format!("entry-{number}").parse().expect("a name"),
            incarnation: Incarnation(1),
        };
        let identity = Identity::generate(&id).expect("a certificate");
        let (tx, rx) = mpsc::channel(EVENTS);
        let pins = Pins::default();
        let local = "127.0.0.1:0".parse().expect("an address");
        let timeouts = PeerTimeouts::default();
        let endpoint = PeerEndpoint::bind(identity, local, pins.clone(), timeouts, tx);
        Self {
            id,
            endpoint: endpoint.expect("an endpoint"),
            rx,
            pins,
        }
    }

    pub(crate) fn contact(&self) -> Contact {
        Contact {
            id: self.id.clone(),
            address: self.endpoint.local_address(),
            fingerprint: self.endpoint.fingerprint(),
        }
    }

    pub(crate) fn know(&self, others: &[Contact]) {
        let pins = others
            .iter()
            .map(|other| (other.fingerprint, other.id.clone()));
        self.pins.set(pins);
    }

    /// Queues a message; gives it back if there is no room.
    pub(crate) fn offer(&self, lane: Lane, to: &Contact, message: Message) -> Option<Message> {
        match self.endpoint.send_on(lane, &to.id, to.address, message) {
            Ok(()) => None,
            Err(error) => {
                assert_eq!(error.fault, SendFault::QueueFull);
                Some(error.message)
            }
        }
    }

    pub(crate) fn send(&self, to: &Contact, message: Message) {
        let refused = self.offer(Lane::Control, to, message);
        assert!(refused.is_none(), "the queue is full");
    }

    /// Waits for the next message.
    pub(crate) async fn message(&mut self) -> Message {
        loop {
            match self.rx.recv().await.expect("an event") {
                PeerEvent::Message { message, .. } => return message,
                PeerEvent::Connected { .. } => {}
                other => panic!("{other:?}"),
            }
        }
    }
}

/// Runs two daemons that know each other, each on a thread; returns what they return.
pub(crate) fn run_pair<A, B, FA, FB, RA, RB>(a: FA, b: FB) -> (RA, RB)
where
    FA: FnOnce(Daemon, Contact) -> A + Send + 'static,
    FB: FnOnce(Daemon, Contact) -> B + Send + 'static,
    A: Future<Output = RA>,
    B: Future<Output = RB>,
    RA: Send + 'static,
    RB: Send + 'static,
{
    let (a_tx, a_rx) = std_mpsc::channel();
    let (b_tx, b_rx) = std_mpsc::channel();
    let a = thread::spawn(move || run(1, &a_tx, &b_rx, a));
    let b = thread::spawn(move || run(2, &b_tx, &a_rx, b));
    (a.join().expect("a result"), b.join().expect("a result"))
}

fn run<F, T, R>(
    number: u64,
    tx: &std_mpsc::Sender<Contact>,
    rx: &std_mpsc::Receiver<Contact>,
    task: T,
) -> R
where
    T: FnOnce(Daemon, Contact) -> F,
    F: Future<Output = R>,
{
    let runtime = runtime();
    runtime.block_on(async {
        let daemon = Daemon::start(number);
        tx.send(daemon.contact()).expect("the other thread");
        let other = rx.recv().expect("the other thread");
        daemon.know(std::slice::from_ref(&other));
        task(daemon, other).await
    })
}

pub(crate) fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime")
}
