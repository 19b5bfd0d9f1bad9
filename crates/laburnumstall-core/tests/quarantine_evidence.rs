//! What counts as evidence against a request, and how it reaches the daemons that need it.

#[path = "support/quarantine.rs"]
mod support;

use laburnumstall_core::prelude::*;
use laburnumstall_core::quarantine::{Quarantine, Trial, Verdict};
use support::{POISON, at, crash, daemon, endpoint};

/// Fails without `was_alive` in `Crash::includes`: the second crash of a restarted endpoint
/// would be folded into the first, which another daemon noticed.
#[test]
fn later_life_crashes_anew() {
    let mut first = Quarantine::new(&daemon(1));
    let mut second = Quarantine::new(&daemon(2));
    let mut journal = Journal::default();
    let innocent = Fingerprint(1);
    let told = crash(&mut first, at(0), 1, &[innocent]).unwrap();
    second.merge(at(1), &told, &mut journal);
    let reached_at = Some(at(2_799));
    second.on_crash(at(2_800), &endpoint(1), reached_at, &[POISON], &mut journal);
    let settled = second.begin_trial(at(2_801), POISON);
    assert_eq!(settled, Trial::Wait(at(2_900)));
    crash(&mut second, at(3_000), 2, &[POISON]);
    assert_eq!(second.verdict(at(5_000), POISON), Verdict::Quarantined);
    assert_eq!(second.verdict(at(5_000), innocent), Verdict::Suspect);
}

/// Fails without `was_alive` in `notice_time`: a daemon's own notices would be one crash.
#[test]
fn quick_restart_crashes_anew() {
    let mut quarantine = Quarantine::new(&daemon(1));
    let mut journal = Journal::default();
    crash(&mut quarantine, at(0), 1, &[POISON]);
    let told = quarantine.on_crash(
        at(800),
        &endpoint(1),
        Some(at(700)),
        &[POISON],
        &mut journal,
    );
    assert!(told.is_some());
    assert_eq!(quarantine.verdict(at(800), POISON), Verdict::Quarantined);
}

/// Fails without `pass_on_evidence`: the two daemons would each lose one more endpoint.
#[test]
fn evidence_is_passed_on() {
    let mut journal = Journal::default();
    let mut between = Quarantine::new(&daemon(1));
    let mut apart = [2, 3].map(|number| Quarantine::new(&daemon(number)));
    for (number, quarantine) in apart.iter_mut().enumerate() {
        let told = crash(quarantine, at(number as u64), number as u64, &[POISON]).unwrap();
        between.merge(at(5), &told, &mut journal);
    }
    let news = between.take_gossip().unwrap();
    for quarantine in &mut apart {
        quarantine.merge(at(6), &news, &mut journal);
        assert_eq!(quarantine.verdict(at(6), POISON), Verdict::Quarantined);
    }
}

/// Fails without the reports in `evidence`: the peer would retry what is convicted here.
#[test]
fn reply_tells_all_of_suspects() {
    let mut journal = Journal::default();
    let mut knowing = Quarantine::new(&daemon(1));
    crash(&mut knowing, at(0), 1, &[POISON]);
    crash(&mut knowing, at(3_000), 2, &[POISON]);
    let mut newcomer = Quarantine::new(&daemon(2));
    let told = crash(&mut newcomer, at(9_000), 3, &[POISON]).unwrap();
    knowing.merge(at(9_001), &told, &mut journal);
    newcomer.merge(at(9_002), &knowing.reply(&told), &mut journal);
    assert_eq!(newcomer.verdict(at(9_002), POISON), Verdict::Quarantined);
    assert_eq!(knowing.warning(at(9_002), Fingerprint(1)), None);
    assert!(knowing.warning(at(9_002), POISON).is_some());
}

/// Fails without `has_returned` in `drop_reclaims`: unrelated crashes just before would hide
/// the first crash of a request.
#[test]
fn returned_endpoints_make_no_wave() {
    let mut quarantine = Quarantine::new(&daemon(1));
    let mut journal = Journal::default();
    for other in 1..=2 {
        crash(&mut quarantine, at(other * 100), other, &[]);
    }
    crash(&mut quarantine, at(1_200), 3, &[POISON]);
    assert_eq!(quarantine.verdict(at(1_200), POISON), Verdict::Clear);
    quarantine.on_returned(at(1_300), &endpoint(1), &mut journal);
    assert_eq!(quarantine.verdict(at(1_300), POISON), Verdict::Suspect);
    let mut told = Quarantine::new(&daemon(2));
    told.merge(at(1_301), &quarantine.snapshot(), &mut journal);
    assert_eq!(told.verdict(at(1_301), POISON), Verdict::Suspect);
}

/// Fails without the second `with_earlier` in `only_repeated`: the conviction of an innocent
/// that met the request by chance would clear the request for one more endpoint.
#[test]
fn chance_convict_hides_nobody() {
    let mut quarantine = Quarantine::new(&daemon(1));
    let innocent = Fingerprint(1);
    crash(&mut quarantine, at(0), 1, &[innocent]);
    crash(&mut quarantine, at(10_000), 2, &[innocent, POISON]);
    crash(&mut quarantine, at(20_000), 3, &[POISON]);
    assert_eq!(quarantine.verdict(at(22_000), POISON), Verdict::Quarantined);
}
