//! All machines are killed in a deployment that has been in service for four months.
//!
//! The holder of the duty stores each usage report, one for each window of five seconds, without a
//! lease, and nobody deletes it. A daemon that starts lists all of them, one page after the other,
//! before it serves.

use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::daemon::{Daemon, Sheet, Site, free_net};
use crate::json::{base64, from_base64};
use crate::platform::{self, End, KEY, Rules};
use crate::replica::{Replica, Spec};
use crate::store::Store;
use crate::{Case, Verdict};

/// Days for which the deployment has been in service.
const DAYS: u64 = 120;
/// Length of a usage window: `usage_window_s`.
const WINDOW_S: u64 = 5;
/// `recover_s` of the settings.
const RECOVER: Duration = Duration::from_secs(12);
/// `memory_mb` of the settings: a process that exceeds it is killed.
const MEMORY_MB: f64 = 520.0;
/// Time after which a process that ended is started again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Time for which requests are judged.
const JUDGED: Duration = Duration::from_secs(30);
/// Key prefix of the reports that the system stores.
const REPORTS: &str = "laburnumstall/usage/";
const MACHINES: usize = 4;
const CLIENTS: usize = 12;

struct Sent {
    at: Duration,
    end: End,
}

pub fn run(case: &Case) -> Verdict {
    let record = &case.record;
    let net = free_net();
    let ip = format!("{net}.100");
    let store = Store::start(&ip);
    store.begin_at(1_000_000);
    let duties = platform::start_duties(&ip, record);
    let rules = Rules {
        version: 1,
        service: "retention-app",
        kind: "idempotent",
        timeout_ms: 4_000,
        attempts: 2,
    };
    store.write("op/config", &rules.value());
    let _replicas: Vec<_> = (0..3)
        .map(|number| {
            let zone = ["tt-north-a", "tt-north-b", "tt-north-c"][number];
            let spec = Spec {
                id: format!("i-{number}"),
                service: "retention-app".to_owned(),
                zone: zone.to_owned(),
                version: "v1".to_owned(),
                slots: 6,
                work: Duration::from_millis(60),
                events: 0,
            };
            Replica::start(spec, &ip, &store, record)
        })
        .collect();
    let site = Site {
        store: store.address,
        provider: duties,
        folder: case.folder.clone(),
        net,
        sheet: Sheet::CaroniArchive,
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
    let log: Mutex<Vec<Sent>> = Mutex::default();
    let is_over = AtomicBool::new(false);
    thread::scope(|scope| {
        for client in 0..CLIENTS {
            let (registries, log, is_over) = (&registries, &log, &is_over);
            scope.spawn(move || run_client(case, client, registries, log, is_over));
        }
        let verdict = play(case, &store, &mut daemons, &log);
        is_over.store(true, Ordering::SeqCst);
        verdict
    })
}

fn run_client(
    case: &Case,
    client: usize,
    registries: &[std::net::SocketAddr],
    log: &Mutex<Vec<Sent>>,
    is_over: &AtomicBool,
) {
    let mut addresses = Vec::new();
    let mut resolved_at: Option<Instant> = None;
    let mut registries = registries.to_vec();
    registries.rotate_left(client % MACHINES);
    for number in 0.. {
        if is_over.load(Ordering::SeqCst) {
            return;
        }
        if resolved_at.is_none_or(|at| at.elapsed() > Duration::from_secs(1)) {
            if let Some(new) = platform::resolve(&registries[..3]) {
                addresses = new;
                resolved_at = Some(Instant::now());
            }
        }
        let id = format!("c{client}n{number}");
        let at = case.record.now();
        let end = match addresses.is_empty() {
            true => End::NoConnection,
            false => {
                let address = addresses[(client + number) % addresses.len()];
                platform::call(&mut None, address, &id, KEY, Duration::from_secs(4))
            }
        };
        case.record.line(&format!(
            "request {id} sent {:.3} {}",
            at.as_secs_f64(),
            end.name()
        ));
        log.lock().expect("the log").push(Sent { at, end });
        thread::sleep(Duration::from_millis(150));
    }
}

fn play(case: &Case, store: &Store, daemons: &mut [Daemon], log: &Mutex<Vec<Sent>>) -> Verdict {
    let record = &case.record;
    thread::sleep(Duration::from_secs(24));
    let reports = store.list(REPORTS);
    let deleted = store
        .deleted()
        .iter()
        .filter(|key| key.starts_with(REPORTS))
        .count();
    record.note(&format!(
        "in 24 s the system has stored {} usage reports and deleted {deleted}",
        reports.len()
    ));
    let Some((key, value)) = reports.last().filter(|_| deleted == 0) else {
        record.note("the system keeps no reports");
        return Verdict::Held;
    };
    record.note(&format!("one of them: {key} = {}", decoded(value)));
    age(store, key, value);
    record.note(&format!("the store now holds the reports of {DAYS} days"));
    thread::sleep(Duration::from_secs(2));
    let before = share(log, record.now() - Duration::from_secs(10), record.now());
    record.note(&format!("before: {}", before.1));
    if before.0 < 0.25 {
        return Verdict::CouldNotRun;
    }
    if case.has_trouble {
        for daemon in daemons.iter_mut() {
            daemon.kill();
        }
        record.note("all processes are killed");
        thread::sleep(RESTART_DELAY);
        for daemon in daemons.iter_mut() {
            daemon.start();
        }
        record.note("all processes are started again");
    }
    let back = record.now();
    let (from, until) = (back + RECOVER, back + RECOVER + JUDGED);
    let mut most = 0.0_f64;
    let mut kills = 0;
    // The last requests have a deadline of four seconds.
    while record.now() < until + Duration::from_millis(4_500) {
        for daemon in daemons.iter_mut() {
            let memory = daemon.memory_mb();
            most = most.max(memory);
            if memory > MEMORY_MB {
                kills += 1;
                record.note(&format!(
                    "{} takes {memory:.0} MB and is killed",
                    daemon.name
                ));
                daemon.kill();
                thread::sleep(RESTART_DELAY / 4);
                daemon.start();
            } else if daemon.has_ended() {
                record.note(&format!("{} has ended by itself", daemon.name));
                daemon.kill();
                daemon.start();
            }
        }
        thread::sleep(Duration::from_millis(50));
    }
    let after = share(log, from, until);
    record.note(&format!(
        "requests sent later than recover_s after the machines are back: {}; most memory {most:.0} MB, \
         {kills} processes killed for it, {} calls refused by the store as too many",
        after.1,
        store.refused()
    ));
    let ready = daemons.iter().filter(|daemon| daemon.is_ready()).count();
    record.note(&format!("{ready} of {MACHINES} machines are ready"));
    match after.0 < 0.25 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

/// Returns the share of requests sent between two times that were served, and how all ended.
fn share(log: &Mutex<Vec<Sent>>, from: Duration, until: Duration) -> (f64, String) {
    let log = log.lock().expect("the log");
    let sent = log.iter().filter(|sent| (from..until).contains(&sent.at));
    let ends: Vec<&End> = sent.map(|sent| &sent.end).collect();
    let served = ends.iter().filter(|end| ***end == End::Served).count();
    let share = served as f64 / ends.len().max(1) as f64;
    (
        share,
        format!(
            "{:.2} served ({})",
            share,
            platform::tally(ends.into_iter())
        ),
    )
}

fn decoded(value: &str) -> String {
    String::from_utf8_lossy(&from_base64(value).unwrap_or_default()).into_owned()
}

/// Adds the reports that the system stored in earlier windows: the same report, with their numbers.
fn age(store: &Store, key: &str, value: &str) {
    let Ok(newest) = key[REPORTS.len()..].parse::<u64>() else {
        return;
    };
    let text = decoded(value);
    let count = DAYS * 86_400 / WINDOW_S;
    store.add_old((newest - count..newest).map(|window| {
        let report = text.replace(&newest.to_string(), &window.to_string());
        (format!("{REPORTS}{window}"), base64(report.as_bytes()))
    }));
}
