//! Evidence against requests, and how it reaches the daemons that need it.

#[path = "support/quarantine.rs"]
mod support;

use laburnumstall_core::prelude::*;
use laburnumstall_core::quarantine::{Quarantine, Trial, Verdict};
use support::{POISON, at, crash, daemon, endpoint};

/// Fails without `was_alive` in `Crash::includes`: the second crash of a restarted endpoint
/// would be merged with the first, which another daemon noticed.
#[test]
fn crash_after_restart_is_separate() {
    let mut first = Quarantine::new(&daemon(1));
    let mut second = Quarantine::new(&daemon(2));
    let mut journal = Journal::default();
    let harmless = Fingerprint(1);
    let suspicion = crash(&mut first, at(0), 1, &[harmless]).unwrap();
    second.merge(at(1), &suspicion, &mut journal);
    let reached_at = Some(at(2_799));
    second.on_crash(at(2_800), &endpoint(1), reached_at, &[POISON], &mut journal);
    let settled = second.begin_trial(at(2_801), POISON);
    assert_eq!(settled, Trial::Wait(at(2_900)));
    crash(&mut second, at(3_000), 2, &[POISON]);
    assert_eq!(second.verdict(at(5_000), POISON), Verdict::Quarantined);
    assert_eq!(second.verdict(at(5_000), harmless), Verdict::Suspect);
}

/// Fails without `was_alive` in `notice_time`: two crashes noticed by one daemon would be
/// merged.
#[test]
fn crash_after_quick_restart_is_separate() {
    let mut quarantine = Quarantine::new(&daemon(1));
    let mut journal = Journal::default();
    crash(&mut quarantine, at(0), 1, &[POISON]);
    let suspicion = quarantine.on_crash(
        at(800),
        &endpoint(1),
        Some(at(700)),
        &[POISON],
        &mut journal,
    );
    assert!(suspicion.is_some());
    assert_eq!(quarantine.verdict(at(800), POISON), Verdict::Quarantined);
}

/// Fails without `share_evidence`: the two daemons would each lose one more endpoint.
#[test]
fn evidence_is_forwarded() {
    let mut journal = Journal::default();
    let mut connected = Quarantine::new(&daemon(1));
    let mut partitioned = [2, 3].map(|number| Quarantine::new(&daemon(number)));
    for (number, quarantine) in partitioned.iter_mut().enumerate() {
        let suspicion = crash(quarantine, at(number as u64), number as u64, &[POISON]).unwrap();
        connected.merge(at(5), &suspicion, &mut journal);
    }
    let gossip = connected.take_gossip().unwrap();
    for quarantine in &mut partitioned {
        quarantine.merge(at(6), &gossip, &mut journal);
        assert_eq!(quarantine.verdict(at(6), POISON), Verdict::Quarantined);
    }
}

/// Fails without the reports in `evidence`: the peer would retry a request
/// that is quarantined here.
#[test]
fn reply_includes_all_evidence() {
    let mut journal = Journal::default();
    let mut informed = Quarantine::new(&daemon(1));
    crash(&mut informed, at(0), 1, &[POISON]);
    crash(&mut informed, at(3_000), 2, &[POISON]);
    let mut new_peer = Quarantine::new(&daemon(2));
    let suspicion = crash(&mut new_peer, at(9_000), 3, &[POISON]).unwrap();
    informed.merge(at(9_001), &suspicion, &mut journal);
    new_peer.merge(at(9_002), &informed.reply(&suspicion), &mut journal);
    assert_eq!(new_peer.verdict(at(9_002), POISON), Verdict::Quarantined);
    assert_eq!(informed.warning(at(9_002), Fingerprint(1)), None);
    assert!(informed.warning(at(9_002), POISON).is_some());
}

/// Fails without `has_returned` in `drop_reclaims`: unrelated crashes just before the first
/// crash of a request would make it look like a reclaim.
#[test]
fn recovered_endpoints_are_no_reclaim() {
    let mut quarantine = Quarantine::new(&daemon(1));
    let mut journal = Journal::default();
    for other in 1..=2 {
        crash(&mut quarantine, at(other * 100), other, &[]);
    }
    crash(&mut quarantine, at(1_200), 3, &[POISON]);
    assert_eq!(quarantine.verdict(at(1_200), POISON), Verdict::Clear);
    quarantine.on_returned(at(1_300), &endpoint(1), &mut journal);
    assert_eq!(quarantine.verdict(at(1_300), POISON), Verdict::Suspect);
    let mut peer = Quarantine::new(&daemon(2));
    peer.merge(at(1_301), &quarantine.snapshot(), &mut journal);
    assert_eq!(peer.verdict(at(1_301), POISON), Verdict::Suspect);
}

/// Fails without the second `with_earlier` in `only_repeated`: a harmless request that was
/// quarantined by chance would clear the cause, which would crash one more endpoint.
#[test]
fn quarantine_by_chance_does_not_hide_the_cause() {
    let mut quarantine = Quarantine::new(&daemon(1));
    let harmless = Fingerprint(1);
    crash(&mut quarantine, at(0), 1, &[harmless]);
    crash(&mut quarantine, at(10_000), 2, &[harmless, POISON]);
    crash(&mut quarantine, at(20_000), 3, &[POISON]);
    assert_eq!(quarantine.verdict(at(22_000), POISON), Verdict::Quarantined);
}
