//! The membership view: evidence, failure decisions, ranking and the heartbeat ring.

use std::collections::BTreeMap;
use std::time::Duration;

use laburnumstall_core::cloud::ReclaimNotice;
use laburnumstall_core::membership::{
    CertificateFingerprint, Evidence, GoneReason, HEARTBEAT_PERIOD, Member, MemberDigest,
    MemberEvent, MemberState, MemberUpdate, Membership, ReportedStatus, SILENT_AFTER,
};
use laburnumstall_core::prelude::*;
use quickcheck::{Gen, QuickCheck};

const SECOND: Duration = Duration::from_secs(1);

fn member(number: u16, zone: &str, incarnation: u64) -> Member {
    Member {
        id: format!("vm-{number}@{incarnation}").parse().unwrap(),
        zone: zone.parse().unwrap(),
        peer_address: ([10, 0, 0, 1], 10_000 + number).into(),
        caller_address: ([10, 0, 0, 1], 20_000 + number).into(),
        certificate: CertificateFingerprint([number as u8; 32]),
        leaving: false,
    }
}

/// Four daemons in three zones; the first is `own`.
fn four() -> (Membership, Vec<Member>, Journal) {
    let members: Vec<Member> = [(0, "a"), (1, "b"), (2, "c"), (3, "a")]
        .map(|(number, zone)| member(number, zone, 1))
        .into();
    let mut view = Membership::new(members[0].clone());
    let mut journal = Journal::default();
    view.on_registry(Timestamp::ZERO, &members, &mut journal);
    assert_eq!(view.tick(Timestamp::ZERO, &mut journal).len(), 3);
    (view, members, journal)
}

fn suspicion(of: &Member) -> MemberDigest {
    let update = MemberUpdate {
        about: of.id.clone(),
        status: ReportedStatus::Suspected,
    };
    MemberDigest {
        updates: vec![update],
    }
}

/// Fails if `MemberRecord::failure_reason` does not count refusals.
#[test]
fn two_refusals_mean_gone_and_one_does_not() {
    let (mut view, members, mut journal) = four();
    let id = &members[1].id;
    let now = Timestamp::from_millis(10);
    view.on_evidence(now, id, Evidence::Refused, &mut journal);
    assert!(view.tick(now, &mut journal).is_empty());
    view.on_evidence(now, id, Evidence::Heartbeat, &mut journal);
    view.on_evidence(now, id, Evidence::Refused, &mut journal);
    assert!(view.tick(now, &mut journal).is_empty());
    view.on_evidence(now, id, Evidence::Refused, &mut journal);
    let gone = MemberEvent::Gone(id.clone(), GoneReason::Refused);
    assert_eq!(view.tick(now, &mut journal), [gone]);
    view.on_evidence(now, id, Evidence::Heartbeat, &mut journal);
    assert_eq!(
        view.tick(now, &mut journal),
        [MemberEvent::Returned(id.clone())]
    );
}

/// Fails without `is_confirmed` in `MemberRecord::failure_reason`.
#[test]
fn silence_needs_a_probe_and_a_second_source() {
    let (mut view, members, mut journal) = four();
    let id = &members[1].id;
    let now = Timestamp::ZERO.after(SILENT_AFTER);
    assert!(view.probes_due(now).contains(id));
    view.on_digest(now, &members[2].id, &suspicion(&members[1]), &mut journal);
    assert!(
        view.tick(now, &mut journal).is_empty(),
        "no probe of its own"
    );
    view.on_evidence(now, id, Evidence::Silent, &mut journal);
    let gone = MemberEvent::Gone(id.clone(), GoneReason::Silent);
    assert_eq!(view.tick(now, &mut journal), [gone]);

    let (mut view, _, mut journal) = four();
    view.on_evidence(now, id, Evidence::Silent, &mut journal);
    let later = now.after(60 * SECOND);
    assert!(
        view.tick(later, &mut journal).is_empty(),
        "no second source"
    );
}

/// Fails if `last_contact_by_any` is not checked in `MemberRecord::failure_reason`.
#[test]
fn a_peer_that_reaches_the_member_prevents_removal() {
    let (mut view, members, mut journal) = four();
    let id = &members[1].id;
    let now = Timestamp::ZERO.after(SILENT_AFTER);
    view.on_evidence(now, id, Evidence::Silent, &mut journal);
    view.on_digest(now, &members[2].id, &suspicion(&members[1]), &mut journal);
    let alive = MemberUpdate {
        about: id.clone(),
        status: ReportedStatus::Alive { age_millis: 400 },
    };
    let digest = MemberDigest {
        updates: vec![alive],
    };
    view.on_digest(now, &members[3].id, &digest, &mut journal);
    assert!(view.tick(now, &mut journal).is_empty());
}

/// Fails if `Membership::add_member` does not call `raise_incarnation`.
#[test]
fn a_later_process_replaces_the_earlier_at_once() {
    let (mut view, members, mut journal) = four();
    let now = Timestamp::from_millis(100);
    let successor = member(1, "b", 2);
    view.on_introduction(now, &successor, &mut journal);
    let old = &members[1].id;
    let gone = MemberEvent::Gone(old.clone(), GoneReason::Replaced);
    let expected = [gone, MemberEvent::Joined(successor.clone())];
    assert_eq!(view.tick(now, &mut journal), expected);
    // Late heartbeats of the earlier process and a stale listing have no effect.
    view.on_evidence(now, old, Evidence::Heartbeat, &mut journal);
    view.on_registry(now, &members, &mut journal);
    assert!(view.tick(now, &mut journal).is_empty());
    assert_eq!(view.state(old), Some(MemberState::Gone));
    assert_eq!(view.state(&successor.id), Some(MemberState::Live));
}

/// Fails if `Membership::on_registry_unreadable` does not reset absences.
#[test]
fn an_outage_or_an_empty_registry_removes_no_reachable_member() {
    let (mut view, members, mut journal) = four();
    for step in 1..240 {
        let now = Timestamp::from_millis(500 * step);
        for other in &members[1..] {
            view.on_evidence(now, &other.id, Evidence::Heartbeat, &mut journal);
        }
        match step {
            0..100 => view.on_registry(now, &[], &mut journal),
            _ => view.on_registry_unreadable(now),
        }
        assert!(view.tick(now, &mut journal).is_empty());
    }
    // An empty listing followed by a store outage: silence alone does not remove a member.
    let silent = Timestamp::from_millis(200_000);
    for other in &members[1..] {
        view.on_evidence(silent, &other.id, Evidence::Silent, &mut journal);
    }
    view.on_registry_unreadable(silent);
    assert!(view.tick(silent, &mut journal).is_empty());
    assert_eq!(view.live().count(), 4);
}

/// Fails without `mark_leaving` in the `Notice` arm of `Membership::on_evidence`.
#[test]
fn a_notice_takes_effect_at_once_and_ends_at_its_deadline() {
    let (mut view, members, mut journal) = four();
    let notice = ReclaimNotice {
        vm: members[2].id.vm.clone(),
        deadline: Timestamp::from_millis(5_000),
    };
    let now = Timestamp::from_millis(10);
    view.on_notice(now, &notice, &mut journal);
    let leaving = MemberEvent::Leaving(members[2].id.clone());
    assert_eq!(view.tick(now, &mut journal), [leaving]);
    assert!(
        view.directory()
            .iter()
            .all(|member| member.id != members[2].id)
    );
    let before = Timestamp::from_millis(4_900);
    assert!(view.tick(before, &mut journal).is_empty());
    let gone = MemberEvent::Gone(members[2].id.clone(), GoneReason::Reclaimed);
    let after = Timestamp::from_millis(6_100);
    assert_eq!(view.tick(after, &mut journal), [gone]);
}

/// Fails without `listing_ok` in `MemberRecord::failure_reason`.
#[test]
fn expiry_needs_most_registrations_to_stand() {
    let (mut view, members, mut journal) = four();
    view.on_registry(Timestamp::ZERO, &members[..1], &mut journal);
    let later = Timestamp::from_millis(30_000);
    view.on_registry(later, &members[..1], &mut journal);
    assert!(view.tick(later, &mut journal).is_empty());
    let (mut view, members, mut journal) = four();
    view.on_registry(Timestamp::ZERO, &members[..3], &mut journal);
    view.on_registry(later, &members[..3], &mut journal);
    let gone = MemberEvent::Gone(members[3].id.clone(), GoneReason::Expired);
    assert_eq!(view.tick(later, &mut journal), [gone]);
}

/// Fails if `update_of` does not add a heartbeat period to the age of forwarded updates.
#[test]
fn daemons_do_not_keep_a_dead_one_alive_for_each_other() {
    let (mut first, members, mut journal) = four();
    let mut second = view_of(&members[1], &members);
    let dead = &members[3].id;
    let left = &members[..3];
    for step in 1..40 {
        let now = Timestamp::from_millis(500 * step);
        // Each digest is in transit for one heartbeat period.
        let [from_first, from_second] = [first.digest(), second.digest()];
        for (view, from, digest) in [
            (&mut first, &members[1].id, from_second),
            (&mut second, &members[0].id, from_first),
        ] {
            view.on_registry(now, left, &mut journal);
            view.on_digest(now, from, &digest, &mut journal);
            view.tick(now, &mut journal);
        }
    }
    assert_eq!(first.state(dead), Some(MemberState::Gone));
    assert_eq!(second.state(dead), Some(MemberState::Gone));
}

/// Fails without `check_listing` in `Membership::on_unregistered`.
#[test]
fn a_watch_has_the_same_effect_as_listings() {
    let ends_at = Timestamp::from_millis(1_000);
    let later = Timestamp::from_millis(30_000);
    for ended in 1..4 {
        let (mut view, members, mut journal) = four();
        for member in &members[1..=ended] {
            view.on_unregistered(ends_at, &member.id.vm, &mut journal);
        }
        let gone = view.tick(later, &mut journal).len();
        let expected = if ended == 1 { 1 } else { 0 };
        assert_eq!(gone, expected, "{ended} of three registrations ended");
        let successor = member(1, "b", 2);
        view.on_registered(later, &successor, &mut journal);
        assert_eq!(view.state(&successor.id), Some(MemberState::Live));
        assert_eq!(view.state(&members[1].id), Some(MemberState::Gone));
    }
}

fn fleet(count: u16, zones: u16) -> Vec<Member> {
    (0..count)
        .map(|number| member(number, &format!("zone-{}", number % zones), 1))
        .collect()
}

fn view_of(own: &Member, members: &[Member]) -> Membership {
    let mut view = Membership::new(own.clone());
    view.on_registry(Timestamp::ZERO, members, &mut Journal::default());
    view
}

/// Fails without the zone condition in `Membership::standby`.
#[test]
fn a_standby_can_be_located_whichever_zone_owns() {
    fn property(lookup_hash: u32, count: u16, zones: u16) -> bool {
        let members = fleet(2 + count % 12, 1 + zones % 4);
        let view = view_of(&members[0], &members);
        let lookup_hash = LookupHash(lookup_hash);
        let located = view.locate(lookup_hash);
        let same_everywhere = members
            .iter()
            .all(|own| view_of(own, &members).locate(lookup_hash) == located);
        let is_located = members.iter().all(|owner| {
            view.standby(lookup_hash, &owner.zone, &[])
                .is_none_or(|standby| located.contains(&standby.id) && standby.zone != owner.zone)
        });
        let first = view.rank(lookup_hash)[0].id.clone();
        same_everywhere && is_located && located[0] == first
    }
    let rng = Gen::from_size_and_seed(64, 7);
    let property = property as fn(u32, u16, u16) -> bool;
    QuickCheck::new().rng(rng).tests(1_000).quickcheck(property);
}

/// Fails if zones do not alternate in `ring`.
#[test]
fn each_daemon_is_watched_by_four_with_several_in_other_zones() {
    for (count, zones) in [(4, 3), (12, 3), (24, 2), (220, 11)] {
        let members = fleet(count, zones);
        let mut watchers: BTreeMap<DaemonId, Vec<AvailabilityZone>> = BTreeMap::new();
        for own in &members {
            for target in view_of(own, &members).heartbeat_targets() {
                watchers.entry(target).or_default().push(own.zone.clone());
            }
        }
        for watched in &members {
            let zones = &watchers[&watched.id];
            let others = zones.iter().filter(|zone| **zone != watched.zone).count();
            assert_eq!(zones.len(), (usize::from(count) - 1).min(4));
            assert!(others >= 2, "{watched:?} is watched from {zones:?}");
        }
    }
}

#[test]
fn certificates_and_members_round_trip_as_text() {
    let original = member(7, "a", 3);
    let text = serde_json::to_string(&original).unwrap();
    assert_eq!(serde_json::from_str::<Member>(&text).unwrap(), original);
    let shown = original.certificate.to_string();
    assert_eq!(shown.parse(), Ok(original.certificate));
    assert!("é".repeat(32).parse::<CertificateFingerprint>().is_err());
    assert!(HEARTBEAT_PERIOD < SILENT_AFTER);
}
