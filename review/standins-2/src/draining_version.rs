//! The last replicas of a software version are being replaced when a machine is killed.
//!
//! The clients of the machine take their streams up at the others. A stream goes on only at the
//! version that began it, and the daemons send no stream to a replica that drains, although it serves
//! on and may be sent requests for `drain_ms`.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crate::daemon::{Daemon, Sheet, Site, free_net};
use crate::platform::{self, Rules};
use crate::replica::{Replica, Spec};
use crate::store::Store;
use crate::streams::{Attempt, EVENTS, PAUSE, Stream, read_stream};
use crate::{Case, Verdict};

/// `drain_ms` of the settings.
const DRAIN: Duration = Duration::from_secs(2);
/// Time for which a replica serves on after that.
const LINGER: Duration = Duration::from_millis(1_500);
/// Time for which a new replica is there before the old one drains.
const NEW_FIRST: Duration = Duration::from_millis(500);
/// Pause between two replicas that are replaced.
const GAP: Duration = Duration::from_secs(1);
/// Time from the report of the last replica until the machine is killed.
const TO_KILL: Duration = Duration::from_millis(250);
const MACHINES: usize = 2;
const CLIENTS: usize = 180;
/// Streams that have to be taken up.
const TAKEN_UP: usize = 12;

pub fn run(case: &Case) -> Verdict {
    let record = &case.record;
    // The machine alone, without the replicas, to compare.
    let is_kill_only = std::env::var("TROUBLE").as_deref() == Ok("kill");
    let (replaces, kills) = (case.has_trouble && !is_kill_only, case.has_trouble);
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
    };
    store.write("op/config", &rules.value());
    let start = |number: usize, version: &str| {
        let spec = Spec {
            id: format!("i-{number}"),
            service: "summary-model".to_owned(),
            zone: ["tt-north-a", "tt-north-b", "tt-north-c"][number % 3].to_owned(),
            version: version.to_owned(),
            slots: 64,
            work: PAUSE,
            events: EVENTS,
        };
        Replica::start(spec, &ip, &store, record)
    };
    let old: Vec<_> = (0..3).map(|number| start(number, "v1")).collect();
    let mut new: Vec<_> = (3..6).map(|number| start(number, "v2")).collect();
    let site = Site {
        store: store.address,
        provider: duties,
        folder: case.folder.clone(),
        net,
        sheet: Sheet::CaroniArchive,
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
    let (drained, killed) = thread::scope(|scope| {
        for client in 0..CLIENTS {
            let (fronts, streams, is_over) = (&fronts, &streams, &is_over);
            scope.spawn(move || {
                // Clients begin one after the other.
                thread::sleep(Duration::from_millis(27 * client as u64));
                for number in 0.. {
                    if is_over.load(Ordering::SeqCst) {
                        return;
                    }
                    let stream = read_stream(case, fronts, client, number);
                    streams.lock().expect("the streams").push(stream);
                }
            });
        }
        thread::sleep(Duration::from_secs(12));
        let mut reported = Vec::new();
        for (number, replica) in old.iter().enumerate() {
            if !replaces {
                break;
            }
            if number > 0 {
                thread::sleep(GAP - NEW_FIRST);
            }
            new.push(start(6 + number, "v2"));
            thread::sleep(NEW_FIRST);
            replica.drain();
            reported.push(record.now());
            record.note(&format!(
                "{} of v1 has reported that it drains",
                replica.spec.id
            ));
            scope.spawn(move || {
                thread::sleep(DRAIN + LINGER);
                replica.end(true);
            });
        }
        // Until then two of them may be sent requests.
        let drained = reported.get(1).copied().unwrap_or_else(|| record.now());
        thread::sleep(TO_KILL);
        let killed = record.now();
        if kills {
            daemons[0].kill();
            record.note("a machine is killed");
        }
        thread::sleep(DRAIN + LINGER + Duration::from_secs(4));
        is_over.store(true, Ordering::SeqCst);
        (drained, killed)
    });
    let streams = streams.into_inner().expect("the streams");
    // Attempts at the other machine that it may send to the draining replicas.
    let span = killed..drained + DRAIN;
    let attempts: Vec<(&Stream, &Attempt)> = streams
        .iter()
        .flat_map(|stream| stream.attempts.iter().map(move |attempt| (stream, attempt)))
        .filter(|(_, attempt)| span.contains(&attempt.at) && attempt.front == fronts[1])
        .collect();
    // Each stream counts once, whatever it was refused before.
    let mut known = BTreeSet::new();
    let attempts: Vec<_> = attempts
        .into_iter()
        .filter(|(stream, _)| known.insert(stream.ids[0].clone()))
        .collect();
    let share = |chosen: &dyn Fn(&Stream, &Attempt) -> bool| {
        let chosen: Vec<_> = attempts.iter().filter(|(s, a)| chosen(s, a)).collect();
        let on = chosen.iter().filter(|(_, attempt)| attempt.goes_on).count();
        (chosen.len(), on, on as f64 / chosen.len().max(1) as f64)
    };
    let is_v1 = |stream: &Stream| {
        stream
            .versions
            .first()
            .is_some_and(|version| version == "v1")
    };
    let (taken_up, go_on, share_on) = share(&|stream, a| a.after > 0 && is_v1(stream));
    let (begun, begin, share_new) = share(&|_, attempt| attempt.after == 0);
    let (other, other_on, _) = share(&|stream, a| a.after > 0 && !is_v1(stream));
    record.note(&format!(
        "at the machine in touch, until drain_ms after the report: {taken_up} streams of v1 taken up, \
         {go_on} go on; {other} of v2 taken up, {other_on} go on; {begun} new streams, {begin} begin"
    ));
    let mixed = streams
        .iter()
        .filter(|stream| stream.versions.len() > 1)
        .count();
    record.note(&format!("{mixed} streams hold events of two versions"));
    if !case.has_trouble {
        return Verdict::Held;
    }
    if taken_up < TAKEN_UP {
        record.note("too few streams were taken up");
        return Verdict::CouldNotRun;
    }
    match share_on < share_new / 2.0 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
