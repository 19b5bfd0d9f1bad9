//! Which faults happen when.
//!
//! Faults come in series that overlap: a few of them within a second or two, then a pause. Some
//! series hold only faults that excuse no lost request, and keep a distance from the others.

use std::fmt;
use std::time::Duration;

use fastrand::Rng;
use laburnumstall_platform_standins::caller::CallKind;
use laburnumstall_platform_standins::{EndpointFaults, StoreFault};

use crate::world::Target;

/// Longest time between the faults of one series.
const WITHIN_SERIES: Duration = Duration::from_millis(900);
/// Longest pause between two series.
const BETWEEN_SERIES: Duration = Duration::from_millis(4_000);
/// Most faults of one series.
const MOST_IN_SERIES: usize = 4;
/// One series in so many has only faults that excuse no lost request.
const MILD_ONE_IN: u32 = 3;
/// Pause before such a series, in which the faults before it end and cease to show.
const BEFORE_MILD: Duration = Duration::from_millis(5_000);
/// Shortest and longest silence of a sound endpoint.
const SILENCE: [Duration; 2] = [Duration::from_millis(700), Duration::from_millis(1_600)];
/// Longest time between the beginnings of the silences of a service's endpoints.
const LONGEST_LAG: Duration = Duration::from_millis(300);
/// Longest time that a fault lasts.
const LONGEST: Duration = Duration::from_millis(5_000);
/// Shortest and longest time for which requests that crash endpoints come: some seconds more than
/// all daemons have to know of them.
const SHORTEST_EPISODE: Duration = Duration::from_millis(6_500);
const LONGEST_EPISODE: Duration = Duration::from_millis(9_000);
/// Separates the draws of these requests from those of the other faults.
const CRASHING_SEED: u64 = 0x63;
/// Separates the draws of restores from those of the other faults.
const RESTORE_SEED: u64 = 0x72;
/// One soak in so many has restores and endpoints that say only in responses that they leave, and
/// another one limits that endpoints name.
const RESTORED_ONE_IN: u64 = 3;
/// Separates the draws of limits from those of the other faults.
const LIMIT_SEED: u64 = 0x6c;
/// Requests per second that endpoints name as their limit.
const LIMITS: [f64; 4] = [0.5, 1.0, 2.0, 6.0];
/// Shortest and longest time for which an endpoint names a limit: some seconds more than daemons
/// have to keep it.
const LIMITED_TIME: [Duration; 2] = [Duration::from_millis(6_000), Duration::from_millis(10_000)];
/// Most endpoints of a service that name limits at the same time.
const MOST_LIMITED: usize = 3;
/// Shortest and longest time for which the store is away before it comes back from a copy.
const AWAY: [Duration; 2] = [Duration::from_millis(100), Duration::from_millis(1_500)];
/// Shortest and longest age of the copy.
const COPY_AGE: [Duration; 2] = [Duration::from_millis(500), Duration::from_millis(8_000)];
/// Shortest and longest time between two restores.
const BETWEEN_RESTORES: [Duration; 2] =
    [Duration::from_millis(4_000), Duration::from_millis(9_000)];
/// Endpoints that say only in responses that they leave, for each restore.
const UNLISTED_PER_RESTORE: usize = 2;
/// Distinguishes the plan of restarts of all daemons.
const RESTARTS_SEED: u64 = 0x7265_7374_6172_7473;
/// Longest time from a release to a kill of all daemons, and shortest one from that to the next
/// release.
const BETWEEN_RESTARTS: Duration = Duration::from_millis(3_500);
/// Shortest time that a fault lasts.
const SHORTEST: Duration = Duration::from_millis(300);

/// What faults can hit.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Shape {
    pub(crate) daemons: usize,
    pub(crate) endpoints: usize,
    pub(crate) services: usize,
}

/// What crashes endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum CrashCause {
    /// One request of a kind, in copies.
    Request(CallKind),
    /// A part of prompts, in streams of which no two are alike.
    Part,
}

/// One fault.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Fault {
    KillDaemon(usize),
    KillAll,
    StopDaemon(usize),
    PauseDaemon(usize, Duration),
    Hangup(usize),
    Store(StoreFault, Duration),
    Compact,
    /// The store is away for a time and comes back from a copy of an age.
    RestoreStore(Duration, Duration),
    CutStore(usize, Duration),
    SilenceStore(usize),
    CutCallers(usize, Duration),
    SilenceCallers(usize),
    DelayCallers(usize, Duration),
    CrashEndpoint(usize),
    DrainEndpoint(usize),
    /// The endpoint says in its responses alone that it leaves.
    DrainUnlisted(usize),
    /// The endpoint names a limit of requests per second for a time.
    LimitEndpoint(usize, f64, Duration),
    SpoilEndpoint(usize, EndpointFaults, Duration),
    SilenceEndpoint(usize),
    CutEndpoint(usize, Duration),
    /// Replaces endpoints of a service by ones of its next software version.
    Release(usize),
    SilenceForOne(usize, Duration),
    /// Hits all endpoints of one service, each after the one before by the second time. A stream
    /// that moves may meet the next silence.
    SilenceForService(usize, Duration, Duration),
    /// Callers of a service send requests that crash each endpoint that begins them.
    SendCrashing(usize, CrashCause, Duration),
    DutiesDown(Duration),
    ChangeTimeout,
    AddKey,
    RevokeKey,
}

impl Fault {
    /// Returns what it touches; of several daemons the first.
    pub(crate) fn target(&self) -> Target {
        match *self {
            Self::KillDaemon(index)
            | Self::StopDaemon(index)
            | Self::PauseDaemon(index, _)
            | Self::Hangup(index)
            | Self::CutStore(index, _)
            | Self::SilenceStore(index)
            | Self::CutCallers(index, _)
            | Self::SilenceCallers(index)
            | Self::DelayCallers(index, _) => Target::Daemon(index),
            Self::KillAll => Target::Daemon(0),
            Self::Store(..) | Self::Compact | Self::RestoreStore(..) => Target::Store,
            Self::CrashEndpoint(index)
            | Self::DrainEndpoint(index)
            | Self::DrainUnlisted(index)
            | Self::LimitEndpoint(index, ..)
            | Self::SpoilEndpoint(index, ..)
            | Self::SilenceEndpoint(index)
            | Self::CutEndpoint(index, _)
            | Self::SilenceForOne(index, _) => Target::Endpoint(index),
            Self::Release(service)
            | Self::SilenceForService(service, ..)
            | Self::SendCrashing(service, ..) => Target::Service(service),
            Self::DutiesDown(_) | Self::ChangeTimeout | Self::AddKey | Self::RevokeKey => {
                Target::Operators
            }
        }
    }

    /// Tells whether it excuses a lost request. Planned work and the silence of a sound endpoint
    /// do not.
    pub(crate) fn excuses_loss(&self) -> bool {
        let is_planned = matches!(
            self,
            Self::StopDaemon(_)
                | Self::Hangup(_)
                | Self::ChangeTimeout
                | Self::AddKey
                | Self::RevokeKey
                | Self::LimitEndpoint(..)
                // Each crash that follows is noted by itself.
                | Self::SendCrashing(..)
        );
        !is_planned && !self.is_silence()
    }

    /// Tells whether it restarts or freezes the process of a daemon.
    pub(crate) fn interrupts_process(&self) -> bool {
        matches!(
            self,
            Self::KillDaemon(_) | Self::KillAll | Self::StopDaemon(_) | Self::PauseDaemon(..)
        )
    }

    /// Tells whether sound endpoints fall silent for a time.
    pub(crate) fn is_silence(&self) -> bool {
        matches!(self, Self::SilenceForOne(..) | Self::SilenceForService(..))
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

/// A fault and its time after the first possible one.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Planned {
    pub(crate) at: Duration,
    pub(crate) fault: Fault,
}

/// Draws the faults of one soak.
pub(crate) fn draw(seed: u64, length: Duration, shape: Shape) -> Vec<Planned> {
    let mut rng = Rng::with_seed(seed);
    let mut plan = Vec::new();
    let mut at = Duration::ZERO;
    while at < length {
        let is_mild = rng.u32(0..MILD_ONE_IN) == 0;
        if is_mild {
            at += BEFORE_MILD;
        }
        for _ in 0..rng.usize(1..=MOST_IN_SERIES) {
            let fault = match is_mild {
                true => mild_fault(&mut rng, shape),
                false => fault(&mut rng, shape),
            };
            plan.push(Planned { at, fault });
            at += between(&mut rng, Duration::ZERO, WITHIN_SERIES);
        }
        at += between(&mut rng, Duration::ZERO, BETWEEN_SERIES);
    }
    plan.retain(|planned| planned.at < length);
    plan.extend(crashing_requests(seed, length, shape));
    plan.extend(restores(seed, length, shape));
    plan.extend(limits(seed, length, shape));
    plan.sort_by_key(|planned| planned.at);
    plan
}

/// Draws releases and kills of all daemons, and nothing else: streams of two versions are taken up
/// again while no other fault excuses what becomes of them.
pub(crate) fn draw_restarts(seed: u64, length: Duration, shape: Shape) -> Vec<Planned> {
    let mut rng = Rng::with_seed(seed ^ RESTARTS_SEED);
    let mut plan = Vec::new();
    let mut at = Duration::ZERO;
    while at < length {
        let service = rng.usize(0..shape.services);
        let fault = Fault::Release(service);
        plan.push(Planned { at, fault });
        at += between(&mut rng, SHORTEST, BETWEEN_RESTARTS);
        let fault = Fault::KillAll;
        plan.push(Planned { at, fault });
        at += between(&mut rng, BETWEEN_RESTARTS, BETWEEN_RESTARTS * 2);
    }
    plan.retain(|planned| planned.at < length);
    plan
}

/// Draws when callers send requests that crash endpoints, apart from the other faults: in every
/// second soak, since their crashes excuse lost requests.
fn crashing_requests(seed: u64, length: Duration, shape: Shape) -> Vec<Planned> {
    let mut rng = Rng::with_seed(seed ^ CRASHING_SEED);
    let mut plan = Vec::new();
    let mut at = between(&mut rng, Duration::ZERO, SHORTEST_EPISODE / 4);
    while seed.is_multiple_of(2) && at < length {
        let lasts = between(&mut rng, SHORTEST_EPISODE, LONGEST_EPISODE);
        let service = rng.usize(0..shape.services);
        let kind = CallKind::ALL[rng.usize(0..CallKind::ALL.len())];
        let cause = match rng.bool() {
            true => CrashCause::Part,
            false => CrashCause::Request(kind),
        };
        let fault = Fault::SendCrashing(service, cause, lasts);
        plan.push(Planned { at, fault });
        at += lasts + between(&mut rng, Duration::ZERO, LONGEST_EPISODE);
    }
    plan
}

/// Draws restores of the store, and endpoints that leave around them, apart from the other faults.
fn restores(seed: u64, length: Duration, shape: Shape) -> Vec<Planned> {
    let mut rng = Rng::with_seed(seed ^ RESTORE_SEED);
    let mut plan = Vec::new();
    let mut at = between(&mut rng, Duration::ZERO, BETWEEN_RESTORES[0]);
    while seed % RESTORED_ONE_IN == 1 && at < length {
        let away = between(&mut rng, AWAY[0], AWAY[1]);
        let age = between(&mut rng, COPY_AGE[0], COPY_AGE[1]);
        let pause = between(&mut rng, BETWEEN_RESTORES[0], BETWEEN_RESTORES[1]);
        for _ in 0..UNLISTED_PER_RESTORE {
            let at = at + between(&mut rng, Duration::ZERO, pause);
            let fault = Fault::DrainUnlisted(rng.usize(0..shape.endpoints));
            plan.push(Planned { at, fault });
        }
        // What the copy lacks: an endpoint that leaves, a key that is withdrawn.
        for fault in [
            Fault::DrainEndpoint(rng.usize(0..shape.endpoints)),
            match rng.bool() {
                true => Fault::RevokeKey,
                false => Fault::AddKey,
            },
        ] {
            let before = between(&mut rng, Duration::ZERO, COPY_AGE[1]);
            let at = at.saturating_sub(before);
            plan.push(Planned { at, fault });
        }
        let fault = Fault::RestoreStore(away, age);
        plan.push(Planned { at, fault });
        at += pause;
    }
    plan.retain(|planned| planned.at < length);
    plan
}

/// Draws limits that endpoints name, apart from the other faults and from restores.
fn limits(seed: u64, length: Duration, shape: Shape) -> Vec<Planned> {
    let mut rng = Rng::with_seed(seed ^ LIMIT_SEED);
    let mut plan = Vec::new();
    let mut at = between(&mut rng, Duration::ZERO, LIMITED_TIME[0] / 2);
    while seed % RESTORED_ONE_IN == 2 && at < length {
        let lasts = between(&mut rng, LIMITED_TIME[0], LIMITED_TIME[1]);
        let service = rng.usize(0..shape.services);
        let per_second = LIMITS[rng.usize(0..LIMITS.len())];
        let endpoints = (service..shape.endpoints).step_by(shape.services);
        for index in endpoints.take(rng.usize(1..=MOST_LIMITED)) {
            let fault = Fault::LimitEndpoint(index, per_second, lasts);
            plan.push(Planned { at, fault });
        }
        at += lasts + between(&mut rng, Duration::ZERO, LIMITED_TIME[0] / 2);
    }
    plan
}

fn fault(rng: &mut Rng, shape: Shape) -> Fault {
    let lasts = between(rng, SHORTEST, LONGEST);
    let daemon = rng.usize(0..shape.daemons);
    let endpoint = rng.usize(0..shape.endpoints);
    match rng.u32(0..34) {
        0..=1 => Fault::KillDaemon(daemon),
        2 => Fault::KillAll,
        3..=6 => Fault::StopDaemon(daemon),
        7..=8 => Fault::PauseDaemon(daemon, lasts),
        9 => Fault::Hangup(daemon),
        10..=12 => Fault::Store(store_fault(rng), lasts),
        13 => Fault::Compact,
        14 => Fault::CutStore(daemon, lasts),
        15 => Fault::SilenceStore(daemon),
        16 => Fault::CutCallers(daemon, lasts),
        17 => Fault::SilenceCallers(daemon),
        18 => Fault::DelayCallers(daemon, lasts),
        19 => Fault::CrashEndpoint(endpoint),
        20..=21 => Fault::DrainEndpoint(endpoint),
        22..=24 => Fault::SpoilEndpoint(endpoint, endpoint_faults(rng), lasts),
        25 => Fault::SilenceEndpoint(endpoint),
        26 => Fault::CutEndpoint(endpoint, lasts),
        27 => Fault::DutiesDown(lasts),
        28 => match rng.bool() {
            true => Fault::ChangeTimeout,
            false => Fault::AddKey,
        },
        29 => Fault::RevokeKey,
        30 => Fault::SilenceForOne(endpoint, silence(rng)),
        31 => silence_of_service(rng, shape),
        _ => Fault::Release(rng.usize(0..shape.services)),
    }
}

/// Draws a fault that excuses no lost request.
fn mild_fault(rng: &mut Rng, shape: Shape) -> Fault {
    match rng.u32(0..8) {
        0..=1 => Fault::SilenceForOne(rng.usize(0..shape.endpoints), silence(rng)),
        2..=4 => silence_of_service(rng, shape),
        5 => Fault::StopDaemon(rng.usize(0..shape.daemons)),
        6 => Fault::Hangup(rng.usize(0..shape.daemons)),
        _ => Fault::ChangeTimeout,
    }
}

fn silence_of_service(rng: &mut Rng, shape: Shape) -> Fault {
    let lag = between(rng, Duration::ZERO, LONGEST_LAG);
    Fault::SilenceForService(rng.usize(0..shape.services), silence(rng), lag)
}

fn silence(rng: &mut Rng) -> Duration {
    let [shortest, longest] = SILENCE;
    between(rng, shortest, longest)
}

fn store_fault(rng: &mut Rng) -> StoreFault {
    match rng.u32(0..4) {
        0 => StoreFault::Busy,
        1 => StoreFault::Silent,
        2 => StoreFault::Slow(Duration::from_millis(rng.u64(50..800))),
        _ => StoreFault::LosesAnswers(rng.u64(2..5)),
    }
}

fn endpoint_faults(rng: &mut Rng) -> EndpointFaults {
    let part = 0.1 + rng.f64() * 0.4;
    let none = EndpointFaults::default();
    match rng.u32(0..6) {
        0 => EndpointFaults {
            loses_answer: part,
            ..none
        },
        1..=2 => EndpointFaults {
            garbles: part,
            ..none
        },
        3 => EndpointFaults {
            refuses: part,
            ..none
        },
        4 => EndpointFaults {
            fails: part,
            ..none
        },
        _ => EndpointFaults {
            is_mute: true,
            ..none
        },
    }
}

fn between(rng: &mut Rng, least: Duration, most: Duration) -> Duration {
    let span = (most - least).as_millis() as u64;
    least + Duration::from_millis(rng.u64(0..=span))
}
