//! The store comes back from a copy that is older than a configuration that took a key away, while a
//! machine starts again.
//!
//! The daemons that knew the newer configuration write its version to the store, so that one that
//! starts does not serve by the older one. Until they have, it does.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::daemon::{Daemon, Site, free_net};
use crate::platform::{self, End, KEY, Rules, SECOND_KEY};
use crate::replica::{Replica, Spec};
use crate::store::Store;
use crate::{Case, Verdict};

/// `revoke_ms` of the settings.
const REVOKE: Duration = Duration::from_secs(5);
/// Time from the acknowledgement until the store goes away, and for which it is away.
const ACK_TO_AWAY: Duration = Duration::from_millis(5_500);
const AWAY: Duration = Duration::from_millis(1_100);
/// Time after which a process that was killed is started again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Time after which the replicas and the operator have written again.
const REPLICAS_WRITE: Duration = Duration::from_millis(300);
const OPERATOR_WRITES: Duration = Duration::from_secs(2);
const MACHINES: usize = 4;
const CLIENTS: usize = 24;

pub fn run(case: &Case) -> Verdict {
    let record = &case.record;
    let net = free_net();
    let ip = format!("{net}.100");
    let store = Store::start(&ip);
    let duties = platform::start_duties(&ip, record);
    let rules = |version, has_second_key| Rules {
        version,
        service: "retention-app",
        kind: "idempotent",
        timeout_ms: 4_000,
        attempts: 2,
        has_second_key,
    };
    store.write("op/config", &rules(3, true).value());
    let replicas: Vec<_> = (0..3)
        .map(|number| {
            let spec = Spec {
                id: format!("i-{number}"),
                service: "retention-app".to_owned(),
                zone: ["tt-north-a", "tt-north-b", "tt-north-c"][number].to_owned(),
                version: "v1".to_owned(),
                slots: 16,
                work: Duration::from_millis(20),
                events: 0,
            };
            Replica::start(spec, &ip, None, &store, record)
        })
        .collect();
    let site = Site {
        store: store.address,
        provider: duties,
        folder: case.folder.clone(),
        net,
        max_fds: 8_200,
    };
    let zones = ["tt-north-a", "tt-north-a", "tt-north-b", "tt-north-c"];
    let mut daemons: Vec<Daemon> = (0..MACHINES)
        .map(|number| Daemon::new(&site, number, zones[number]))
        .collect();
    for daemon in &mut daemons {
        daemon.start();
    }
    if !daemons
        .iter()
        .all(|daemon| daemon.wait_ready(Duration::from_secs(10)))
    {
        record.note("the machines are not ready");
        return Verdict::CouldNotRun;
    }
    record.note("all machines are ready");
    let registries: Vec<_> = daemons.iter().map(|daemon| daemon.registry).collect();
    // When each request with the second key was sent, and how it ended.
    let log: Mutex<BTreeMap<String, (Duration, End)>> = Mutex::default();
    let is_over = AtomicBool::new(false);
    let (acked, until) = thread::scope(|scope| {
        for client in 0..CLIENTS {
            let (registries, log, is_over) = (&registries, &log, &is_over);
            scope.spawn(move || {
                let mut addresses = Vec::new();
                let mut resolved_at: Option<Instant> = None;
                let mut registries = registries.clone();
                registries.rotate_left(client % MACHINES);
                for number in 0.. {
                    if is_over.load(Ordering::SeqCst) {
                        return;
                    }
                    if resolved_at.is_none_or(|at| at.elapsed() > Duration::from_secs(5)) {
                        if let Some(new) = platform::resolve(&registries[..3]) {
                            addresses = new;
                            resolved_at = Some(Instant::now());
                        }
                    }
                    let is_second = client % 2 == 0;
                    let (name, key) = match is_second {
                        true => ("second", SECOND_KEY),
                        false => ("first", KEY),
                    };
                    let id = format!("{name}-c{client}n{number}");
                    let at = case.record.now();
                    let end = match addresses.is_empty() {
                        true => End::NoConnection,
                        false => {
                            let address = addresses[(client + number) % addresses.len()];
                            platform::call(&mut None, address, &id, key, Duration::from_secs(1))
                        }
                    };
                    let text = format!("request {id} sent {:.3} {}", at.as_secs_f64(), end.name());
                    case.record.line(&text);
                    if is_second {
                        log.lock().expect("the log").insert(id, (at, end));
                    }
                    thread::sleep(Duration::from_millis(60));
                }
            });
        }
        thread::sleep(Duration::from_secs(5));
        let copy = store.copy();
        record.note("the store has made a copy");
        thread::sleep(Duration::from_millis(500));
        store.write("op/config", &rules(4, false).value());
        let acked = record.now();
        record.note("the store has acknowledged version 4, which takes the second key away");
        thread::sleep(ACK_TO_AWAY);
        if case.has_trouble {
            store.go_away();
            daemons[3].kill();
            record.note("the store is away, and a process is killed");
            thread::sleep(RESTART_DELAY);
            daemons[3].start();
            thread::sleep(AWAY - RESTART_DELAY);
            store.restore(copy);
            record.note("the store is back from the copy");
            thread::sleep(REPLICAS_WRITE);
            for replica in &replicas {
                replica.write_again();
            }
            thread::sleep(OPERATOR_WRITES - REPLICAS_WRITE);
            store.write("op/config", &rules(4, false).value());
            record.note("the operator has written version 4 again");
        }
        thread::sleep(Duration::from_secs(3));
        is_over.store(true, Ordering::SeqCst);
        (acked, record.now())
    });
    let log = log.into_inner().expect("the log");
    let late: Vec<_> = log
        .iter()
        .filter(|(_, (at, _))| *at > acked + REVOKE)
        .collect();
    let text = platform::tally(late.iter().map(|(_, (_, end))| end));
    record.note(&format!(
        "requests with the second key, sent later than revoke_ms after the acknowledgement: {text}"
    ));
    let mut has_run = 0;
    for replica in &replicas {
        for id in replica.runs() {
            let sent = log.get(&id).map(|(at, _)| *at);
            if let Some(at) = sent.filter(|at| *at > acked + REVOKE) {
                has_run += 1;
                let late = (at - acked).as_secs_f64();
                record.note(&format!(
                    "{id}, sent {late:.3} s after it, runs at {}",
                    replica.spec.id
                ));
            }
        }
    }
    record.note(&format!(
        "{has_run} of them ran, until {:.1} s",
        until.as_secs_f64()
    ));
    match has_run {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}
