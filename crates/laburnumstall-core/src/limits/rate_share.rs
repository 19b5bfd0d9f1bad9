//! One entry's part of one rate of a contract, with what it has lent and borrowed.
//!
//! The parts of all entries add up to the contract: a part is an even split of it, less
//! what the entry has lent, plus what it has borrowed. A loan is given by one message and
//! ends at a stated time. The lender counts it whether or not the message arrives, and a
//! little longer than the borrower uses it; so lost, late and repeated messages can only
//! make the sum smaller.

use std::collections::BTreeMap;
use std::time::Duration;

use super::SHARE_PERIOD;
use super::bucket::Bucket;
use crate::ids::DaemonId;
use crate::units::Timestamp;

/// Time that a loan holds.
pub(super) const LOAN_DURATION: Duration = Duration::from_secs(4);
/// Difference between the clocks of two daemons that a lender allows for.
const CLOCK_SKEW: Duration = Duration::from_millis(500);
/// Time after which an entry uses the larger part that a gone entry leaves.
const GROW_DELAY: Duration = Duration::from_secs(5);
/// Time after which a peer's demand is forgotten.
const DEMAND_TTL: Duration = Duration::from_secs(6);
/// Part of an even split that is never lent, as a divisor.
const MIN_RETAINED_DIVISOR: i64 = 16;
/// Demand is taken for this much more than seen, in hundredths, so that it can grow.
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

/// One rate of a contract at one entry; rates are in millionths a second.
#[derive(Debug, Clone)]
pub(super) struct RateShare {
    contract: i64,
    entries: i64,
    /// A smaller number of entries, and when it counts.
    pending_entries: Option<(Timestamp, i64)>,
    lent: Vec<OutgoingLoan>,
    borrowed: BTreeMap<DaemonId, ExpiringRate>,
    /// What peers say of their demand.
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

    /// Counts what is asked for, whether or not it is taken.
    pub(super) fn record_offered(&mut self, cost: i64) {
        self.offered = self.offered.saturating_add(cost);
    }

    /// Tells how long it takes until `cost` can be taken; `None` if it never can.
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
        let rest = later.wait(change, cost)?;
        Some(change.after(rest).since(now))
    }

    /// Takes `cost`; a negative cost gives back.
    pub(super) fn take(&mut self, now: Timestamp, cost: i64) {
        self.advance(now);
        self.bucket.take(now, cost);
    }

    /// Takes in a loan from a peer; it replaces the peer's earlier one.
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

    /// Takes in a peer's demand.
    pub(super) fn record_demand(&mut self, now: Timestamp, from: &DaemonId, rate: i64) {
        let until = now.after(DEMAND_TTL);
        self.demands
            .insert(from.clone(), ExpiringRate { rate, until });
    }

    /// Closes the time over which demand is measured; returns the demand a second.
    pub(super) fn measure(&mut self, now: Timestamp) -> i64 {
        let micros = now.since(self.offered_since).as_micros().max(1) as i128;
        let rate = i128::from(self.offered) * 1_000_000 / micros;
        let rate = i64::try_from(rate).unwrap_or(i64::MAX);
        self.demand = rate.max((self.demand + rate) / 2);
        self.offered = 0;
        self.offered_since = now;
        self.demand
    }

    /// Lends what is not needed to peers that need it; `round` makes a rate expressible in
    /// the message. Returns the loans, which hold for [`LOAN_DURATION`].
    pub(super) fn lend(
        &mut self,
        now: Timestamp,
        round: impl Fn(i64) -> i64,
    ) -> Vec<(DaemonId, i64)> {
        self.advance(now);
        self.demands.retain(|_, demand| demand.until > now);
        let needs = self.demands.values().map(|demand| self.need(demand.rate));
        let need: i64 = needs.sum();
        let peers = self
            .demands
            .values()
            .map(|demand| self.surplus(demand.rate));
        let own = self.surplus(self.demand);
        let surplus = peers.sum::<i64>() + own;
        if need == 0 || own == 0 {
            return Vec::new();
        }
        let given = proportion(need, own, surplus).min(own);
        let mut loans = Vec::new();
        for (peer, demand) in &self.demands {
            let rate = round(proportion(given, self.need(demand.rate), need));
            if rate > 0 {
                loans.push((peer.clone(), rate));
            }
        }
        self.grant_loans(now, &loans)
    }

    /// Counts loans against the part; one that exceeds what is left is cut.
    fn grant_loans(&mut self, now: Timestamp, wanted: &[(DaemonId, i64)]) -> Vec<(DaemonId, i64)> {
        let until = now.after(LOAN_DURATION).after(CLOCK_SKEW);
        let mut loans = Vec::new();
        for (to, rate) in wanted {
            let lent = self.lent.clone();
            self.lent.push(OutgoingLoan {
                to: to.clone(),
                rate: *rate,
                until,
            });
            if self.even_split() - self.lent_rate() < self.even_split() / MIN_RETAINED_DIVISOR {
                self.lent = lent;
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

    /// Returns what is lent: to each borrower the largest loan that has not ended.
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

    fn need(&self, demand: i64) -> i64 {
        (with_headroom(demand) - self.even_split()).max(0)
    }

    fn surplus(&self, demand: i64) -> i64 {
        let kept = with_headroom(demand).max(self.even_split() / MIN_RETAINED_DIVISOR);
        (self.even_split() - kept).max(0)
    }

    fn next_change(&self) -> Option<Timestamp> {
        let loans = self.lent.iter().map(|loan| loan.until);
        let borrowed = self.borrowed.values().map(|loan| loan.until);
        let entries = self.pending_entries.iter().map(|(at, _)| *at);
        loans.chain(borrowed).chain(entries).min()
    }

    /// Carries out the changes of the rate that are due, each at its time.
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
