//! Episodes in which several callers send requests that crash each endpoint that begins them:
//! copies of one, or different ones with a part of the prompt in common.

use std::rc::Rc;
use std::time::Duration;

use laburnumstall_platform_standins::caller::{self, Call, CallKind};
use laburnumstall_platform_standins::crashing::{CRASHING_BODY, CRASHING_PART};
use laburnumstalld::http1::Conn;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep};

use super::{Episode, Record, SERVICES, World};
use crate::clients::customer_part;
use crate::plan::{CrashCause, Fault};

/// Customer that the callers belong to.
const CUSTOMER: &str = "registry";
/// Callers that send the request at the same time.
const CALLERS: u16 = 3;
/// Number of the first of these callers; the others count up.
const FIRST_CALLER: u16 = 0xf000;
/// Pause between two copies of one caller.
const PAUSE: Duration = Duration::from_millis(120);
/// Time that a caller waits by its own word, and for an answer.
const PATIENCE: Duration = Duration::from_millis(3_000);
/// Longest time to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Starts a successor of each endpoint that a request has crashed.
pub(super) async fn replace_crashed(
    world: Rc<World>,
    mut rx: mpsc::UnboundedReceiver<(usize, u32)>,
) {
    while let Some((index, number)) = rx.recv().await {
        let is_current = world.endpoints.borrow().get(index).is_some_and(|slot| {
            slot.as_ref()
                .is_some_and(|current| current.number == number)
        });
        if is_current {
            let world = Rc::clone(&world);
            actix_rt::spawn(async move {
                let noted = world.note(&Fault::CrashEndpoint(index));
                world.replace_endpoint(index).await;
                world.ended(noted);
            });
        }
    }
}

impl World {
    /// Lets several callers send such requests for `time`.
    pub(super) async fn send_crashing(
        self: Rc<Self>,
        service: usize,
        cause: CrashCause,
        time: Duration,
    ) {
        let number = self.next_episode.replace(self.next_episode.get() + 1);
        let episode = Episode { number, cause };
        let until = Instant::now() + time;
        let callers = (0..CALLERS).map(|number| {
            let sender = Sender {
                world: Rc::clone(&self),
                episode,
                number: FIRST_CALLER + (episode.number as u16) * CALLERS + number,
                service: SERVICES[service],
                sent: 0,
            };
            actix_rt::spawn(sender.run(until))
        });
        for caller in callers.collect::<Vec<_>>() {
            // The task does not panic.
            let _ = caller.await;
        }
    }
}

struct Sender {
    world: Rc<World>,
    episode: Episode,
    number: u16,
    service: &'static str,
    sent: u32,
}

impl Sender {
    async fn run(mut self, until: Instant) {
        while Instant::now() < until && !self.world.is_over() {
            if let Some((daemon, conn)) = self.connect().await
                && let Some(key) = self.key()
            {
                self.send(daemon, conn, key).await;
            }
            sleep(PAUSE).await;
        }
    }

    async fn connect(&self) -> Option<(usize, Conn)> {
        let asked = fastrand::usize(0..self.world.daemon_count());
        let addresses = caller::addresses(self.world.directory(asked)).await?;
        let (daemon, address) = self.world.way_to(*fastrand::choice(&addresses)?)?;
        let conn = Conn::connect(address, CONNECT_TIMEOUT).await.ok()?;
        Some((daemon, conn))
    }

    /// Returns a key in force of the customer that sends all copies.
    fn key(&self) -> Option<String> {
        let keys = self.world.keys.borrow();
        let mut of_customer = keys.iter().filter(|state| state.customer == CUSTOMER);
        let in_force =
            of_customer.find(|state| state.withdrawn.is_none() && state.added_at.is_some());
        in_force.map(|state| state.key.clone())
    }

    async fn send(&mut self, daemon: usize, mut conn: Conn, key: String) {
        self.sent += 1;
        let id = format!("{:04x}{:08x}", self.number, self.sent);
        let number = self.episode.number;
        let (name, kind, body, parts) = match self.episode.cause {
            CrashCause::Request(kind) => {
                let name = format!("episode-{number}");
                (name, kind, CRASHING_BODY.to_vec(), Vec::new())
            }
            CrashCause::Part => {
                let parts = vec![
                    (customer_part(CUSTOMER), 400),
                    (format!("{CRASHING_PART}{number}"), 200),
                    (id.clone(), 20),
                ];
                (id.clone(), CallKind::Stream, Vec::new(), parts)
            }
        };
        let call = Call {
            id,
            name,
            kind,
            service: self.service.to_owned(),
            key,
            timeout: PATIENCE,
            body,
            parts,
            received: None,
        };
        let sent_at = self.world.elapsed();
        let reply = caller::send(&mut conn, &call, PATIENCE * 2).await;
        self.world.ledger.borrow_mut().push(Record {
            id: call.id,
            name: call.name,
            service: call.service,
            kind: call.kind,
            customer: CUSTOMER.to_owned(),
            key: call.key,
            daemon,
            sent_at,
            ended_at: self.world.elapsed(),
            outcome: reply.outcome,
            received_before: None,
            received: reply.received,
            leaving: reply.leaving,
            episode: Some(self.episode),
        });
    }
}
