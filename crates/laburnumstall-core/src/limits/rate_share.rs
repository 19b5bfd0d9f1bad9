//! One entry's share of one of a contract's rates, including lent and borrowed capacity.
//!
//! The shares of all entries add up to the contract: a share is an even split of it, minus
//! the rate that the entry has lent, plus the rate that it has borrowed. A loan is granted
//! by one message and expires at the time stated there. The lender subtracts it whether or
//! not the message arrives, and slightly longer than the borrower uses it; lost, late and
//! duplicate messages can therefore only reduce the sum.

use std::collections::BTreeMap;
use std::time::Duration;

use super::SHARE_PERIOD;
use super::bucket::Bucket;
use crate::ids::DaemonId;
use crate::units::Timestamp;

/// Lifetime of a loan.
pub(super) const LOAN_DURATION: Duration = Duration::from_secs(4);
/// Maximum clock difference between two daemons that a lender tolerates.
const CLOCK_SKEW: Duration = Duration::from_millis(500);
/// Delay before shares grow after the removal of an entry; longer than the loans that the
/// removed entry granted remain valid.
const GROW_DELAY: Duration = Duration::from_secs(5);
/// Time after which a peer's demand expires.
const DEMAND_TTL: Duration = Duration::from_secs(6);
/// Fraction of an even split that is never lent, as a divisor.
const MIN_RETAINED_DIVISOR: i64 = 16;
/// Percentage of the measured demand that an entry plans for, so that demand can grow.
const HEADROOM_PERCENT: i64 = 125;

#[derive(Debug, Clone)]
struct OutgoingLoan {
    to: DaemonId,
    rate: i64,
    until: Timestamp,
}

#[derive(Debug, Clone, Copy)]
struct ExpiringRate {
    rate: i64,
    until: Timestamp,
}

/// Share of one of a contract's rates at one entry; rates are in millionths per second.
#[derive(Debug, Clone)]
pub(super) struct RateShare {
    contract: i64,
    entries: i64,
    /// A smaller number of entries, and the time from which it applies.
    pending_entries: Option<(Timestamp, i64)>,
    lent: Vec<OutgoingLoan>,
    borrowed: BTreeMap<DaemonId, ExpiringRate>,
    /// Demand reported by peers.
    demands: BTreeMap<DaemonId, ExpiringRate>,
    offered: i64,
    offered_since: Timestamp,
    demand: i64,
    bucket: Bucket,
}

impl RateShare {
    pub(super) fn new(contract: i64, entries: u32) -> Self {
        let entries = i64::from(entries);
        Self {
            contract,
            entries,
            pending_entries: None,
            lent: Vec::new(),
            borrowed: BTreeMap::new(),
            demands: BTreeMap::new(),
            offered: 0,
            offered_since: Timestamp::ZERO,
            demand: 0,
            bucket: Bucket::new(contract / entries, SHARE_PERIOD),
        }
    }

    pub(super) fn set_contract(&mut self, contract: i64) {
        self.contract = contract;
        let rate = self.rate();
        self.bucket.replace_rate(rate);
    }

    pub(super) fn set_entries(&mut self, now: Timestamp, entries: u32) {
        self.advance(now);
        let entries = i64::from(entries);
        let is_fewer = entries < self.entries;
        let known = self.pending_entries.filter(|(_, known)| *known == entries);
        self.pending_entries = match known {
            Some(known) => Some(known),
            None => is_fewer.then(|| (now.after(GROW_DELAY), entries)),
        };
        if !is_fewer {
            self.entries = entries;
            self.bucket.set_rate(now, self.rate());
        }
    }

    /// Adds to the offered load, whether or not the cost is admitted.
    pub(super) fn record_offered(&mut self, cost: i64) {
        self.offered = self.offered.saturating_add(cost);
    }

    /// Returns the delay until `cost` can be taken; `None` if it never can.
    pub(super) fn wait(&mut self, now: Timestamp, cost: i64) -> Option<Duration> {
        self.advance(now);
        let wait = self.bucket.wait(now, cost);
        let Some(change) = self.next_change() else {
            return wait;
        };
        if wait.is_some_and(|wait| now.after(wait) <= change) {
            return wait;
        }
        let mut later = self.clone();
        let remaining = later.wait(change, cost)?;
        Some(change.after(remaining).since(now))
    }

    /// Takes `cost`; a negative cost is refunded.
    pub(super) fn take(&mut self, now: Timestamp, cost: i64) {
        self.advance(now);
        self.bucket.take(now, cost);
    }

    /// Adds a loan from a peer, which replaces the peer's previous loan.
    pub(super) fn borrow(&mut self, now: Timestamp, from: &DaemonId, rate: i64, until: Timestamp) {
        self.advance(now);
        let until = until.min(now.after(LOAN_DURATION));
        if rate > 0 && until > now {
            self.borrowed
                .insert(from.clone(), ExpiringRate { rate, until });
        } else {
            self.borrowed.remove(from);
        }
        self.bucket.set_rate(now, self.rate());
    }

    /// Records the demand reported by a peer.
    pub(super) fn record_demand(&mut self, now: Timestamp, from: &DaemonId, rate: i64) {
        let until = now.after(DEMAND_TTL);
        self.demands
            .insert(from.clone(), ExpiringRate { rate, until });
    }

    /// Ends the current measurement interval and returns the demand per second.
    pub(super) fn measure_demand(&mut self, now: Timestamp) -> i64 {
        let micros = now.since(self.offered_since).as_micros().max(1) as i128;
        let rate = i128::from(self.offered) * 1_000_000 / micros;
        let rate = i64::try_from(rate).unwrap_or(i64::MAX);
        self.demand = rate.max((self.demand + rate) / 2);
        self.offered = 0;
        self.offered_since = now;
        self.demand
    }

    /// Lends unused capacity to peers that need it; `round` rounds a rate to the precision of
    /// the message. Returns the loans, which are valid for [`LOAN_DURATION`].
    pub(super) fn lend(
        &mut self,
        now: Timestamp,
        round: impl Fn(i64) -> i64,
    ) -> Vec<(DaemonId, i64)> {
        self.advance(now);
        self.demands.retain(|_, demand| demand.until > now);
        let shortfalls = self
            .demands
            .values()
            .map(|demand| self.shortfall(demand.rate));
        let shortfall: i64 = shortfalls.sum();
        let peer_surpluses = self
            .demands
            .values()
            .map(|demand| self.surplus(demand.rate));
        let own_surplus = self.surplus(self.demand);
        let surplus = peer_surpluses.sum::<i64>() + own_surplus;
        if shortfall == 0 || own_surplus == 0 {
            return Vec::new();
        }
        let lendable = proportion(shortfall, own_surplus, surplus).min(own_surplus);
        let mut loans = Vec::new();
        for (peer, demand) in &self.demands {
            let rate = round(proportion(lendable, self.shortfall(demand.rate), shortfall));
            if rate > 0 {
                loans.push((peer.clone(), rate));
            }
        }
        self.grant_loans(now, &loans)
    }

    /// Subtracts loans from the share, and drops those that exceed the lendable rate.
    fn grant_loans(&mut self, now: Timestamp, wanted: &[(DaemonId, i64)]) -> Vec<(DaemonId, i64)> {
        let until = now.after(LOAN_DURATION).after(CLOCK_SKEW);
        let mut loans = Vec::new();
        for (to, rate) in wanted {
            let previous = self.lent.clone();
            self.lent.push(OutgoingLoan {
                to: to.clone(),
                rate: *rate,
                until,
            });
            if self.even_split() - self.lent_rate() < self.even_split() / MIN_RETAINED_DIVISOR {
                self.lent = previous;
            } else {
                loans.push((to.clone(), *rate));
            }
        }
        self.bucket.set_rate(now, self.rate());
        loans
    }

    fn even_split(&self) -> i64 {
        self.contract / self.entries
    }

    /// Returns the total rate lent: the largest unexpired loan of each borrower.
    fn lent_rate(&self) -> i64 {
        let mut largest: BTreeMap<&DaemonId, i64> = BTreeMap::new();
        for loan in &self.lent {
            let known = largest.entry(&loan.to).or_default();
            *known = loan.rate.max(*known);
        }
        largest.values().sum()
    }

    fn rate(&self) -> i64 {
        let borrowed: i64 = self.borrowed.values().map(|loan| loan.rate).sum();
        (self.even_split() - self.lent_rate()).max(0) + borrowed
    }

    fn shortfall(&self, demand: i64) -> i64 {
        (with_headroom(demand) - self.even_split()).max(0)
    }

    fn surplus(&self, demand: i64) -> i64 {
        let retained = with_headroom(demand).max(self.even_split() / MIN_RETAINED_DIVISOR);
        (self.even_split() - retained).max(0)
    }

    fn next_change(&self) -> Option<Timestamp> {
        let loans = self.lent.iter().map(|loan| loan.until);
        let borrowed = self.borrowed.values().map(|loan| loan.until);
        let entries = self.pending_entries.iter().map(|(at, _)| *at);
        loans.chain(borrowed).chain(entries).min()
    }

    /// Applies all rate changes due by `now`, each as of its own time.
    fn advance(&mut self, now: Timestamp) {
        while let Some(at) = self.next_change().filter(|at| *at <= now) {
            self.lent.retain(|loan| loan.until > at);
            self.borrowed.retain(|_, loan| loan.until > at);
            if let Some((_, entries)) = self.pending_entries.take_if(|(due, _)| *due <= at) {
                self.entries = entries;
            }
            self.bucket.set_rate(at, self.rate());
        }
    }
}

fn with_headroom(demand: i64) -> i64 {
    demand.saturating_mul(HEADROOM_PERCENT) / 100
}

/// Returns `whole * part / of`, or zero if `of` is zero.
fn proportion(whole: i64, part: i64, of: i64) -> i64 {
    if of == 0 {
        return 0;
    }
    let value = i128::from(whole) * i128::from(part) / i128::from(of);
    i64::try_from(value).unwrap_or(i64::MAX)
}
