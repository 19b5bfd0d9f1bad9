//! The last replica of a software version crashes and starts again under its id, at the next version.
//!
//! A stream goes on only at the version that began it. A daemon knows a replica by its id and the
//! entry that it read last, so that it sends such streams to the new process until it has read the
//! entry of that.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crate::daemon::{Daemon, Site, free_net};
use crate::platform::{self, Rules};
use crate::replica::{Replica, Spec};
use crate::store::Store;
use crate::streams::{EVENTS, PAUSE, Stream, read_stream};
use crate::{Case, Verdict};

/// Time for which the replica is down.
const DOWN: Duration = Duration::from_secs(2);
const MACHINES: usize = 2;
const CLIENTS: usize = 60;

pub fn run(case: &Case) -> Verdict {
    let record = &case.record;
    let net = free_net();
    let ip = format!("{net}.100");
    let store = Store::start(&ip);
    let duties = platform::start_duties(&ip, record);
    let rules = Rules {
        version: 3,
        service: "summary-model",
        kind: "streaming",
        timeout_ms: 15_000,
        attempts: 2,
        has_second_key: false,
    };
    store.write("op/config", &rules.value());
    let spec = |number: usize, version: &str| Spec {
        id: format!("i-{number}"),
        service: "summary-model".to_owned(),
        zone: ["tt-north-a", "tt-north-b", "tt-north-c"][number % 3].to_owned(),
        version: version.to_owned(),
        slots: 64,
        work: PAUSE,
        events: EVENTS,
    };
    let mut replicas: Vec<_> = (0..4)
        .map(|number| {
            let version = if number == 0 { "v1" } else { "v2" };
            Replica::start(spec(number, version), &ip, None, &store, record)
        })
        .collect();
    let site = Site {
        store: store.address,
        provider: duties,
        folder: case.folder.clone(),
        net,
        max_fds: 8_200,
    };
    let mut daemons: Vec<Daemon> = (0..MACHINES)
        .map(|number| Daemon::new(&site, number, ["tt-north-a", "tt-north-b"][number]))
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
    let fronts: Vec<SocketAddr> = daemons.iter().map(|daemon| daemon.front).collect();
    let streams: Mutex<Vec<Stream>> = Mutex::default();
    let is_over = AtomicBool::new(false);
    thread::scope(|scope| {
        for client in 0..CLIENTS {
            let (fronts, streams, is_over) = (&fronts, &streams, &is_over);
            scope.spawn(move || {
                // Clients begin one after the other.
                thread::sleep(Duration::from_millis(50 * client as u64));
                for number in 0.. {
                    if is_over.load(Ordering::SeqCst) {
                        return;
                    }
                    let stream = read_stream(case, fronts, client, number);
                    streams.lock().expect("the streams").push(stream);
                }
            });
        }
        thread::sleep(Duration::from_secs(10));
        if case.has_trouble {
            replicas[0].end(false);
            record.note("the replica of v1 has crashed");
            thread::sleep(DOWN);
            let at = replicas[0].address;
            replicas[0] = Replica::start(spec(0, "v2"), &ip, Some(at), &store, record);
            record.note("it has started again, at v2");
        }
        thread::sleep(Duration::from_secs(5));
        is_over.store(true, Ordering::SeqCst);
    });
    let streams = streams.into_inner().expect("the streams");
    let mixed: Vec<_> = streams
        .iter()
        .filter(|stream| stream.versions.len() > 1)
        .collect();
    let complete = streams.iter().filter(|stream| stream.is_complete).count();
    let gaps = streams.iter().filter(|stream| stream.has_gap).count();
    let of_v1 = streams
        .iter()
        .filter(|s| s.versions.first().is_some_and(|v| v == "v1"))
        .count();
    record.note(&format!(
        "{} streams, {complete} complete, {of_v1} begun at v1, {gaps} with missing or repeated events",
        streams.len()
    ));
    for stream in &mixed {
        record.line(&format!(
            "mixed: {} holds events of {}",
            stream.ids.join(", "),
            stream.versions.join(", ")
        ));
    }
    record.note(&format!(
        "{} streams hold events of two versions",
        mixed.len()
    ));
    match mixed.len() > 2 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
