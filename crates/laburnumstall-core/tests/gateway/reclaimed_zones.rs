//! Runs of reclaimed zones, whose copies queue on the links of both endpoints and whose prefills
//! queue at the others. The choice is compared with cutting all runs, as before, and with a choice
//! that knows all lengths, ends and queues.

use std::time::Duration;

use laburnumstall_core::gateway::{
    MoveLink, ReclaimChoice, RunOutlook, SourceOutlook, choose, prefill_time, transfer_share,
};
use laburnumstall_core::hash::rendezvous_weight;
use laburnumstall_core::prelude::*;

use crate::support::at;

/// Endpoints in each of three zones; two of three are reclaimable.
const PER_ZONE: usize = 20;
/// Prompt tokens, the first 5,382 of which are cached everywhere.
const PROMPT: u32 = 5_382 + 6_610;
const SHARED: u32 = 5_382;
/// Interval at which a run is looked at.
const LOOK_MS: u64 = 50;
/// Time for the requests of a copy.
const EXCHANGE_MS: f64 = 5.0;
/// Part of the runs that may be late beyond those that are late with the perfect choice.
const TOLERANCE: f64 = 0.05;
/// Shortest notice of the heavy days.
const HEAVY_DAY_NOTICE_MS: u64 = 1_500;

/// Reference deployment.
struct Deployment {
    name: &'static str,
    daemons: usize,
    token_bytes: u64,
    link_mbps: u64,
    slots: usize,
    pause_ms: f64,
    events: u64,
    /// Time of an event at an endpoint of typical speed.
    event_ms: f64,
    /// Speeds of two of five endpoints and of the others, as factors on the time.
    speeds: (f64, f64),
}

const A: Deployment = Deployment {
    name: "A",
    daemons: 35,
    token_bytes: 18_432,
    link_mbps: 370_000,
    slots: 64,
    pause_ms: 300.0,
    events: 76,
    event_ms: 33.0,
    speeds: (1.0, 1.0),
};
const B: Deployment = Deployment {
    name: "B",
    daemons: 86,
    token_bytes: 163_840,
    link_mbps: 1_100_000,
    slots: 48,
    pause_ms: 500.0,
    events: 71,
    event_ms: 21.0,
    speeds: (1.7, 0.7),
};

#[derive(Clone, Copy, PartialEq)]
enum Policy {
    Cut,
    Choose,
    Perfect,
}

#[derive(Default, Clone, Copy)]
struct Figures {
    runs: u32,
    late: u32,
    prefilled: u64,
    moved_gb: f64,
}

#[derive(Clone)]
struct Run {
    endpoint: usize,
    daemon: usize,
    event_ms: f64,
    /// Events that have come at the start, of those that will come.
    done: u64,
    events: u64,
    /// When this daemon learns of the notice.
    told_ms: u64,
    /// When its copy begins.
    begins: Option<Timestamp>,
    /// When its copy is complete, at which endpoint.
    copied: Option<(f64, usize)>,
    has_ended: bool,
}

struct Simulation<'a> {
    of: &'a Deployment,
    policy: Policy,
    seed: u64,
    /// When the link and the prefill queue of each endpoint are free.
    links: Vec<f64>,
    prefills: Vec<f64>,
    loads: Vec<usize>,
    leaves_ms: Vec<Option<f64>>,
    figures: Figures,
}

fn random(seed: u64, number: u64) -> f64 {
    rendezvous_weight(seed, number) as f64 / u64::MAX as f64
}

fn zone(endpoint: usize) -> usize {
    endpoint / PER_ZONE
}

impl Simulation<'_> {
    fn link(&self, source: usize, destination: usize) -> MoveLink {
        MoveLink {
            rate: self.of.link_mbps * 125_000,
            is_cross_zone: zone(source) != zone(destination),
        }
    }

    fn size(&self) -> Bytes {
        Bytes((u64::from(PROMPT) + self.of.events * 5) * self.of.token_bytes)
    }

    /// Returns the first endpoint with room by rendezvous hash of the run.
    fn destination(&self, run: usize) -> Option<usize> {
        let open = (0..self.links.len())
            .filter(|index| self.leaves_ms[*index].is_none() && self.loads[*index] < self.of.slots);
        open.max_by_key(|index| rendezvous_weight(run as u64 ^ self.seed, *index as u64))
    }

    /// Returns when a transfer ends that queues on both links.
    fn transfer(&mut self, from: usize, to: usize, now: f64, size: Bytes) -> f64 {
        let time = self.link(from, to).transfer_time(size).as_secs_f64() * 1_000.0;
        let end = now.max(self.links[from]).max(self.links[to]) + time;
        (self.links[from], self.links[to]) = (end, end);
        self.figures.moved_gb += size.get() as f64 / 1e9;
        end
    }

    /// Ends a run after a gap in its events.
    fn finish(&mut self, run: &mut Run, gap_ms: f64) {
        run.has_ended = true;
        self.figures.runs += 1;
        self.figures.late += u32::from(gap_ms > self.of.pause_ms);
    }

    /// Prefills a run that was cut; the perfect choice takes the endpoint that is free first.
    fn recompute(&mut self, number: usize, run: &mut Run, now: f64) {
        let open = (0..self.links.len()).filter(|index| self.leaves_ms[*index].is_none());
        let to = match self.policy {
            Policy::Perfect => open.min_by(|a, b| self.prefills[*a].total_cmp(&self.prefills[*b])),
            _ => self.destination(number),
        };
        let Some(to) = to else {
            return self.finish(run, f64::MAX);
        };
        let prefill = prefill_time(PROMPT, SHARED).as_secs_f64() * 1_000.0;
        self.prefills[to] = self.prefills[to].max(now) + prefill;
        self.figures.prefilled += u64::from(PROMPT - SHARED);
        self.finish(run, self.prefills[to] - now);
    }

    fn is_done(&self, run: &Run, now: f64) -> bool {
        run.done as f64 + now / run.event_ms >= run.events as f64
    }

    /// Serves the runs of the endpoints that leave, and returns what became of them.
    fn serve(mut self, runs: &mut [Run], notice_ms: u64) -> Figures {
        let end = notice_ms as f64;
        for ms in (0..notice_ms).step_by(5) {
            let now = ms as f64;
            for number in 0..runs.len() {
                let mut run = runs[number].clone();
                if run.has_ended {
                    continue;
                }
                if self.is_done(&run, now) {
                    self.finish(&mut run, 0.0);
                } else if self.policy != Policy::Cut {
                    self.advance(number, &mut run, runs, ms, end);
                }
                runs[number] = run;
            }
        }
        for (number, run) in runs.iter_mut().enumerate() {
            match run.has_ended {
                true => {}
                false if self.is_done(run, end) => self.finish(run, 0.0),
                false => self.recompute(number, run, end),
            }
        }
        self.figures
    }

    fn advance(&mut self, number: usize, run: &mut Run, runs: &[Run], ms: u64, end: f64) {
        let now = ms as f64;
        if let Some((copied, to)) = run.copied {
            if now >= copied {
                // What is new since the copy, for which the run stops.
                let new = Bytes(self.of.token_bytes * 5 * 4);
                let moved = match self.policy {
                    Policy::Perfect => now,
                    _ => self.transfer(run.endpoint, to, now, new) + EXCHANGE_MS,
                };
                match moved <= end {
                    true => self.finish(run, moved - now + run.event_ms),
                    false => self.recompute(number, run, end),
                }
            }
            return;
        }
        if self.policy == Policy::Perfect {
            let ends_in = (run.events - run.done) as f64 * run.event_ms;
            if ends_in > end {
                self.copy(number, run, now);
            }
            return;
        }
        if ms < run.told_ms || !(ms - run.told_ms).is_multiple_of(LOOK_MS) && run.begins.is_none() {
            return;
        }
        let Some(to) = self.destination(number) else {
            return;
        };
        let here = runs
            .iter()
            .filter(|other| !other.has_ended && other.endpoint == run.endpoint);
        let own = here.clone().filter(|other| other.daemon == run.daemon);
        let (all, own_copies) = (
            here.count() as u32,
            own.clone().filter(|other| other.copied.is_some()).count(),
        );
        let events = run.done + (now / run.event_ms) as u64;
        let left = (self.of.events - events.min(self.of.events - 1)) as f64 * run.event_ms;
        let outlook = RunOutlook {
            size: self.size(),
            remaining: Duration::from_secs_f64(left / 1_000.0),
            done: events as f64 / self.of.events as f64,
            begins_at: run.begins,
            recompute: prefill_time(PROMPT, SHARED),
        };
        let source = SourceOutlook {
            since: at(run.told_ms),
            // The entry is up to half a second old; daemons take off half of that.
            ends_at: at((end as u64 + run.told_ms).saturating_sub(250.min(end as u64 / 2))),
            runs: all,
        };
        let link = self.link(run.endpoint, to);
        if let ReclaimChoice::Move(begin) = choose(at(ms), &outlook, &source, Some(link)) {
            run.begins = Some(begin);
            let pause = Duration::from_secs_f64(self.of.pause_ms / 1_000.0);
            let time = link.transfer_time(self.size());
            let share = transfer_share(pause, time, own.count() as u32, all);
            if begin <= at(ms) && own_copies < share as usize {
                self.copy(number, run, now);
            }
        }
    }

    fn copy(&mut self, number: usize, run: &mut Run, now: f64) {
        if let Some(to) = self.destination(number) {
            self.loads[to] += 1;
            let size = self.size();
            run.copied = Some((self.transfer(run.endpoint, to, now, size) + EXCHANGE_MS, to));
        }
    }
}

/// Reclaims these zones at once, with this many runs on their reclaimable endpoints.
fn reclaim(
    of: &Deployment,
    policy: Policy,
    zones: usize,
    count: usize,
    notice: u64,
    seed: u64,
) -> Figures {
    let is_leaving = |index: usize| zone(index) < zones && !index.is_multiple_of(3);
    let endpoints = 3 * PER_ZONE;
    let sources: Vec<usize> = (0..endpoints).filter(|index| is_leaving(*index)).collect();
    let mut runs: Vec<Run> = (0..count)
        .map(|number| {
            let random = |kind: u64| random(seed, number as u64 * 8 + kind);
            let endpoint = sources[number % sources.len()];
            let speed = match endpoint % 5 {
                0 | 1 => of.speeds.0,
                _ => of.speeds.1,
            };
            // Some answers are shorter than the longest ones.
            let events = of.events - (random(1) * of.events as f64 / 5.0) as u64;
            Run {
                endpoint,
                daemon: (random(2) * of.daemons as f64) as usize,
                event_ms: of.event_ms * speed,
                done: (random(3) * events as f64) as u64,
                events,
                told_ms: (random(4) * 100.0) as u64 * 5,
                begins: None,
                copied: None,
                has_ended: false,
            }
        })
        .collect();
    let simulation = Simulation {
        of,
        policy,
        seed,
        links: vec![0.0; endpoints],
        prefills: vec![0.0; endpoints],
        loads: vec![of.slots / 2; endpoints],
        leaves_ms: (0..endpoints)
            .map(|index| is_leaving(index).then_some(notice as f64))
            .collect(),
        figures: Figures::default(),
    };
    simulation.serve(&mut runs, notice)
}

/// Cut runs were all prefilled again at the same moment, and paused for longer than callers accept.
/// Plays reclaims of one and three zones with 10 to 600 runs on the links of both deployments.
#[test]
fn reclaimed_runs_stay_on_time() {
    for of in [&A, &B] {
        for zones in [1, 3] {
            for notice in [500, 1_000, 1_500, 3_000, 5_000] {
                let mut sums = [Figures::default(); 3];
                for count in [10, 100, 300, 600] {
                    for seed in 0..5 {
                        for (sum, policy) in
                            sums.iter_mut()
                                .zip([Policy::Cut, Policy::Choose, Policy::Perfect])
                        {
                            let figures = reclaim(of, policy, zones, count, notice, seed);
                            assert_eq!(figures.runs as usize, count);
                            sum.runs += figures.runs;
                            sum.late += figures.late;
                            sum.prefilled += figures.prefilled;
                            sum.moved_gb += figures.moved_gb;
                        }
                    }
                }
                let [cut, chosen, perfect] = sums;
                println!(
                    "{} zones={zones} notice={notice}ms runs={} late: cut {} chosen {} perfect {}; \
                     tokens prefilled: {} {} {}; GB moved: {:.0} {:.0}",
                    of.name,
                    cut.runs,
                    cut.late,
                    chosen.late,
                    perfect.late,
                    cut.prefilled,
                    chosen.prefilled,
                    perfect.prefilled,
                    chosen.moved_gb,
                    perfect.moved_gb,
                );
                assert!(chosen.late <= cut.late);
                assert!(chosen.prefilled <= cut.prefilled);
                if notice >= HEAVY_DAY_NOTICE_MS {
                    let bound = f64::from(perfect.late) + TOLERANCE * f64::from(chosen.runs);
                    assert!(f64::from(chosen.late) <= bound);
                }
            }
        }
    }
}
