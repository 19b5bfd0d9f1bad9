//! Callers: each asks where to connect, stays with a daemon until the connection ends, and
//! notes what it was told.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use fastrand::Rng;
use laburnumstall_platform_standins::caller::{self, Call, CallKind, Outcome, Reply};
use laburnumstalld::http1::Conn;
use tokio::time::sleep;

use crate::options::SoakSettings;
use crate::world::{Record, SERVICES, World};

/// Time that a caller waits by its own word.
const PATIENCE: Duration = Duration::from_millis(3_000);
/// Time after which a caller looks no longer for an answer: long after it is due.
const GIVE_UP: Duration = Duration::from_millis(6_000);
/// Most attempts of one stream.
const MOST_ATTEMPTS: u32 = 4;
/// Longest time to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause of a caller that finds no daemon.
const NOWHERE_PAUSE: Duration = Duration::from_millis(100);
/// Pause before a caller takes up a stream that was cut: its attempts outlast the restart of a
/// daemon, whose relay accepts connections meanwhile.
const RESUME_PAUSE: Duration = Duration::from_millis(250);
/// Longest pause between two requests, in milliseconds.
const MOST_PAUSE_MS: u64 = 120;
/// Most requests on one connection.
const MOST_REQUESTS: u32 = 60;
/// One body in so many is large.
const LARGE_ONE_IN: u32 = 40;
/// Size of a large body, in bytes.
const LARGE_BODY: usize = 200 << 10;
/// Documents of each customer, whose parts several prompts share.
const DOCUMENTS: u32 = 8;
/// One request in so many bears a withdrawn key, if there is one.
const WITHDRAWN_ONE_IN: u32 = 8;

/// Starts all callers; they end with the calls.
pub(crate) fn start(world: &Rc<World>, settings: &SoakSettings) {
    for number in 0..settings.callers {
        let rng = Rng::with_seed(settings.seed << 16 | u64::from(number));
        let caller = Caller {
            world: Rc::clone(world),
            number,
            rng,
            sent: 0,
            unfinished: None,
        };
        actix_rt::spawn(caller.run());
    }
}

struct Caller {
    world: Rc<World>,
    number: u16,
    rng: Rng,
    sent: u32,
    unfinished: Option<Unfinished>,
}

/// Stream that was cut and is to be resumed.
struct Unfinished {
    customer: String,
    call: Call,
    attempts: u32,
}

impl Caller {
    async fn run(mut self) {
        while !self.world.is_over() {
            let Some((daemon, address)) = self.find().await else {
                sleep(NOWHERE_PAUSE).await;
                continue;
            };
            match Conn::connect(address, CONNECT_TIMEOUT).await {
                Ok(conn) => self.stay(daemon, conn).await,
                Err(_) => sleep(NOWHERE_PAUSE).await,
            }
            if self.unfinished.is_some() {
                sleep(RESUME_PAUSE).await;
            }
        }
    }

    /// Asks a daemon where to connect.
    async fn find(&mut self) -> Option<(usize, SocketAddr)> {
        let asked = self.rng.usize(0..self.world.daemon_count());
        let addresses = caller::addresses(self.world.directory(asked)).await?;
        let front = *self.rng.choice(&addresses)?;
        self.world.way_to(front)
    }

    /// Sends requests until the connection ends.
    async fn stay(&mut self, daemon: usize, mut conn: Conn) {
        for _ in 0..MOST_REQUESTS {
            if self.world.is_over() {
                return;
            }
            let (customer, call, attempts) = match self.unfinished.take() {
                Some(stream) => (stream.customer, stream.call, stream.attempts + 1),
                None => match self.draw() {
                    Some((customer, call)) => (customer, call, 1),
                    None => return,
                },
            };
            let sent_at = self.world.elapsed();
            let reply = caller::send(&mut conn, &call, GIVE_UP).await;
            let is_refused = reply.outcome == Outcome::Refused;
            self.unfinished = self.cut_stream(&customer, &call, &reply, attempts);
            self.world.ledger.borrow_mut().push(Record {
                id: call.id,
                name: call.name,
                service: call.service,
                kind: call.kind,
                customer,
                key: call.key,
                daemon,
                sent_at,
                ended_at: self.world.elapsed(),
                outcome: reply.outcome,
                received_before: call.received,
                received: reply.received,
                leaving: reply.leaving,
                episode: None,
            });
            if !reply.is_kept_open {
                return;
            }
            let pause = match is_refused {
                true => NOWHERE_PAUSE,
                false => Duration::from_millis(self.rng.u64(0..MOST_PAUSE_MS)),
            };
            sleep(pause).await;
            if self.unfinished.is_some() {
                return;
            }
        }
    }

    /// Returns the stream to resume on a new connection, if one was cut.
    fn cut_stream(
        &mut self,
        customer: &str,
        call: &Call,
        reply: &Reply,
        attempts: u32,
    ) -> Option<Unfinished> {
        let is_cut = match reply.outcome {
            Outcome::Cut => true,
            Outcome::Refused | Outcome::Quarantined | Outcome::Failed(_) => call.received.is_some(),
            _ => false,
        };
        if !is_cut || attempts == MOST_ATTEMPTS {
            return None;
        }
        let id = self.next_id();
        Some(Unfinished {
            customer: customer.to_owned(),
            call: reply.resumed(call, id)?,
            attempts,
        })
    }

    fn next_id(&mut self) -> String {
        self.sent += 1;
        format!("{:04x}{:08x}", self.number, self.sent)
    }

    fn draw(&mut self) -> Option<(String, Call)> {
        let (customer, key) = {
            let keys = self.world.keys.borrow();
            let wants_withdrawn = self.rng.u32(0..WITHDRAWN_ONE_IN) == 0;
            let is_withdrawn = keys.iter().filter(|state| state.withdrawn.is_some());
            let in_force = keys
                .iter()
                .filter(|state| state.withdrawn.is_none() && state.added_at.is_some());
            let withdrawn = self.rng.choice(is_withdrawn.collect::<Vec<_>>());
            let state = match withdrawn.filter(|_| wants_withdrawn) {
                Some(state) => state,
                None => self.rng.choice(in_force.collect::<Vec<_>>())?,
            };
            (state.customer.clone(), state.key.clone())
        };
        let id = self.next_id();
        let size = match self.rng.u32(0..LARGE_ONE_IN) {
            0 => LARGE_BODY,
            _ => self.rng.usize(0..400),
        };
        let kind = *self.rng.choice(&CallKind::ALL)?;
        let call = Call {
            parts: match kind {
                CallKind::Stream => prompt(&customer, self.sent, &id),
                _ => Vec::new(),
            },
            name: id.clone(),
            id,
            kind,
            service: (*self.rng.choice(&SERVICES)?).to_owned(),
            key,
            timeout: PATIENCE,
            body: vec![b'a' + (self.sent % 26) as u8; size],
            received: None,
        };
        Some((customer, call))
    }
}

/// Returns the parts of a prompt: one that the customer's prompts share, one that some of them
/// share, and the last one of its own.
fn prompt(customer: &str, number: u32, id: &str) -> Vec<(String, u32)> {
    let document = format!("{}{:x}", customer_part(customer), number % DOCUMENTS);
    vec![
        (customer_part(customer), 400),
        (document, 200),
        (id.to_owned(), 20),
    ]
}

/// Returns the identifier of the part that all prompts of a customer begin with.
pub(crate) fn customer_part(customer: &str) -> String {
    let sum = customer.bytes().fold(0_u32, |sum, byte| {
        sum.wrapping_mul(31).wrapping_add(byte.into())
    });
    format!("a{:06x}", sum & 0xff_ffff)
}
