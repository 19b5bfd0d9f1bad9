//! Customer quotas across all daemons.
//!
//! Every daemon keeps a token bucket with the whole quota of each customer, and deducts its
//! own admissions and those that its peers report. While all daemons reach each other, a
//! customer may use its quota at any of them, and the total exceeds the quota only by the
//! units admitted while gossip is in flight. A daemon that cannot reach some peers refills its
//! buckets only at the reachable daemons' share of the rate, so that the groups of a
//! partitioned fleet together never exceed the whole rate.
//!
//! A customer may request several times its quota at many daemons. Its refused calls would be
//! retried at all daemons at once when the bucket has room again. So when little is left, each
//! daemon admits only its own share of the rate, and assigns each refused caller a later retry
//! time than the previous one.

use std::collections::BTreeMap;
use std::time::Duration;

use super::gossip::GOSSIP_PERIOD;
use super::rules::{CustomerRule, Quota, QuotaUnit};
use crate::domain;
use crate::ids::{CustomerId, DaemonId};
use crate::limits::bucket::{Bucket, MICRO};
use crate::units::Timestamp;

/// Percentage of the burst that is reserved for each rank more urgent than a call's.
const RESERVE_PERCENT: u64 = 10;
/// Maximum number of ranks that a reserve is kept for.
const MAX_RESERVE_RANKS: u64 = 5;
/// Percentage of the burst that new calls leave while callers take streams up.
const RESUMPTION_PERCENT: u64 = 20;
/// Time after a stream was taken up for which new calls leave that.
const RESUMPTION_TIME: Duration = Duration::from_secs(2);
/// Time after a peer's last report for which its usage is extrapolated.
const EXTRAPOLATION_TIME: Duration = Duration::from_millis(600);
/// Burst of a daemon's share: one gossip period, after which the peers know what it admitted.
const SHARE_BURST: Duration = GOSSIP_PERIOD;
/// Maximum spread of the retry times of refused callers: callers wait for at most a third of
/// their remaining time, which is about a second for short calls.
const RETRY_SPREAD: Duration = Duration::from_secs(1);
/// Maximum retry delay: the longest time for which a caller may still be waiting.
const MAX_WAIT: Duration = Duration::from_secs(60);
/// Weight of the newest report in a peer's usage rate.
const NEWEST_WEIGHT: f64 = 0.4;

domain! {
    /// Units of one customer's quota that a daemon's process has admitted so far.
    #[derive(Eq)]
    pub struct QuotaUsage {
        /// Name of the customer.
        pub customer: CustomerId,
        /// Units since the process started.
        pub units: u64,
    }
}

#[derive(Debug, Clone)]
struct Account {
    quota: Quota,
    bucket: Bucket,
    /// Bucket refilled at this daemon's share of the rate; limits calls when `bucket` is
    /// nearly empty.
    share: Bucket,
    /// Earliest retry time for the next refused caller.
    next_retry_at: Timestamp,
    /// When a caller last took a stream up.
    resumed_at: Option<Timestamp>,
    used: u64,
}

/// Usage reported by a peer's process.
#[derive(Debug, Clone)]
struct PeerUsage {
    reported_at: Timestamp,
    /// Total units, and recent units per second.
    units: BTreeMap<CustomerId, (u64, f64)>,
}

/// Quotas of all customers at one daemon.
#[derive(Debug, Clone, Default)]
pub struct QuotaLedger {
    accounts: BTreeMap<CustomerId, Account>,
    peers: BTreeMap<DaemonId, PeerUsage>,
    /// Numbers of reachable daemons and of all daemons, including this one.
    members: (u32, u32),
}

impl QuotaLedger {
    /// Creates a ledger without customers.
    pub fn new() -> Self {
        Self {
            members: (1, 1),
            ..Self::default()
        }
    }

    /// Replaces the customers with those of a configuration. A new bucket starts empty, since
    /// a daemon that starts does not know what was admitted before.
    pub fn set_customers(&mut self, now: Timestamp, customers: &[CustomerRule]) {
        let mut accounts = BTreeMap::new();
        for customer in customers {
            let Some(quota) = customer.quota.filter(|quota| quota.rate > 0) else {
                continue;
            };
            let known = self.accounts.remove(&customer.name);
            let account = match known {
                Some(known) if known.quota == quota => known,
                known => Account {
                    bucket: bucket(now, quota, self.members, known.as_ref()),
                    share: share(now, quota, self.members),
                    next_retry_at: now,
                    resumed_at: None,
                    used: known.map_or(0, |known| known.used),
                    quota,
                },
            };
            accounts.insert(customer.name.clone(), account);
        }
        self.accounts = accounts;
    }

    /// Sets the numbers of reachable daemons and of all daemons.
    pub fn set_members(&mut self, now: Timestamp, reachable: u32, all: u32) {
        let members = (reachable.max(1), all.max(reachable).max(1));
        if members == self.members {
            return;
        }
        self.members = members;
        for account in self.accounts.values_mut() {
            account.bucket.set_rate(now, rate(account.quota, members));
            account
                .share
                .set_rate(now, share_rate(account.quota, members));
        }
    }

    /// Returns the number of daemons that are not reachable.
    pub(super) fn unheard(&self) -> u32 {
        self.members.1 - self.members.0
    }

    /// Returns the units charged for a call; `tokens` is `None` if the call does not state
    /// them.
    pub fn cost(&self, customer: &CustomerId, tokens: Option<u64>) -> u64 {
        match self.accounts.get(customer).map(|account| account.quota) {
            None => 0,
            Some(quota) if quota.unit == QuotaUnit::Calls => 1,
            Some(quota) => tokens.unwrap_or(quota.default_cost),
        }
    }

    /// Deducts `cost` units for a call of `rank`.
    ///
    /// A call may overdraw the bucket, which is refilled before the next call is admitted:
    /// otherwise the bucket would rarely be full enough for a customer's largest calls. Less
    /// urgent calls leave a reserve for more urgent ones; those without a prompt may overdraw
    /// the bucket by a whole burst.
    ///
    /// # Errors
    ///
    /// The time after which the units can be deducted, if they cannot be deducted now.
    pub fn take(
        &mut self,
        now: Timestamp,
        customer: &CustomerId,
        cost: u64,
        rank: u8,
    ) -> Result<(), Duration> {
        let reserve = RESERVE_PERCENT * u64::from(rank).min(MAX_RESERVE_RANKS);
        let account = self.accounts.get(customer);
        let resumed_at = account.and_then(|account| account.resumed_at);
        let is_resuming = resumed_at.is_some_and(|at| now.since(at) < RESUMPTION_TIME);
        let reserve = reserve + if is_resuming { RESUMPTION_PERCENT } else { 0 };
        self.take_beyond(now, customer, cost, reserve)
    }

    /// Deducts `cost` units for a stream that its caller takes up, like [`take`](Self::take). New
    /// calls leave units for such streams, which many callers take up at once when daemons have
    /// ended and the buckets of started ones are empty.
    ///
    /// # Errors
    ///
    /// The time after which the units can be deducted, if they cannot be deducted now.
    pub fn take_resumed(
        &mut self,
        now: Timestamp,
        customer: &CustomerId,
        cost: u64,
    ) -> Result<(), Duration> {
        if let Some(account) = self.accounts.get_mut(customer) {
            account.resumed_at = Some(now);
        }
        self.take_beyond(now, customer, cost, 0)
    }

    /// Deducts `cost` units if more than `reserve` percent of the burst are left.
    fn take_beyond(
        &mut self,
        now: Timestamp,
        customer: &CustomerId,
        cost: u64,
        reserve: u64,
    ) -> Result<(), Duration> {
        let unreported = self.unreported(now, customer);
        let peers = u64::from(self.members.0 - 1);
        let Some(account) = self.accounts.get_mut(customer) else {
            return Ok(());
        };
        let burst = account.quota.burst;
        // Refusing a call without a prompt saves hardly any units.
        let is_small = cost <= account.quota.default_cost;
        let needed = match is_small {
            true => -micro(burst),
            false => micro(burst * reserve / 100 + 1),
        };
        let needed = needed.saturating_add(micro(unreported));
        let bucket_wait = account.bucket.wait(now, needed).unwrap_or(Duration::MAX);
        // With units left for less than one such call per peer, all peers may be admitting one
        // now.
        let ample = needed.saturating_add(micro(peers * cost));
        let is_ample = account.bucket.wait(now, ample) == Some(Duration::ZERO);
        let share_wait = match is_small || is_ample {
            true => Duration::ZERO,
            false => account.share.wait(now, micro(1)).unwrap_or(Duration::MAX),
        };
        let wait = bucket_wait.max(share_wait);
        if wait > Duration::ZERO {
            return Err(account.schedule_retry(now, wait, cost));
        }
        account.bucket.take(now, micro(cost));
        account.used += cost;
        if !is_small && !is_ample {
            account.share.take(now, micro(cost));
        }
        Ok(())
    }

    /// Estimates the units that the peers have admitted since their last reports.
    fn unreported(&self, now: Timestamp, customer: &CustomerId) -> u64 {
        let estimate = |peer: &PeerUsage| {
            let (_, rate) = peer.units.get(customer)?;
            Some(
                rate * now
                    .since(peer.reported_at)
                    .min(EXTRAPOLATION_TIME)
                    .as_secs_f64(),
            )
        };
        self.peers.values().filter_map(estimate).sum::<f64>() as u64
    }

    /// Refunds the units of a call that did not run.
    pub fn refund(&mut self, now: Timestamp, customer: &CustomerId, cost: u64) {
        if let Some(account) = self.accounts.get_mut(customer) {
            account.bucket.take(now, -micro(cost));
            account.used = account.used.saturating_sub(cost);
        }
    }

    /// Returns the units that this process has admitted, for gossip.
    pub fn own_usage(&self) -> Vec<QuotaUsage> {
        let usage = |(customer, account): (&CustomerId, &Account)| QuotaUsage {
            customer: customer.clone(),
            units: account.used,
        };
        self.accounts.iter().map(usage).collect()
    }

    /// Deducts the units that a peer's process reports as admitted. Its first report is the
    /// baseline for later ones.
    pub fn on_peer_usage(&mut self, now: Timestamp, from: &DaemonId, reported: &[QuotaUsage]) {
        let known = self.peers.remove(from);
        let span = known
            .as_ref()
            .map_or(0.0, |known| now.since(known.reported_at).as_secs_f64());
        let mut usage = PeerUsage {
            reported_at: now,
            units: BTreeMap::new(),
        };
        for QuotaUsage { customer, units } in reported {
            let before = known
                .as_ref()
                .map(|known| known.units.get(customer).copied().unwrap_or_default());
            let (before, rate) = before.unwrap_or((*units, 0.0));
            let added =
                i64::try_from(*units).unwrap_or(i64::MAX) - i64::try_from(before).unwrap_or(0);
            let newest = if span > 0.0 {
                (added.max(0)) as f64 / span
            } else {
                rate
            };
            let rate = rate * (1.0 - NEWEST_WEIGHT) + newest * NEWEST_WEIGHT;
            usage.units.insert(customer.clone(), (*units, rate));
            if let Some(account) = self.accounts.get_mut(customer) {
                account.bucket.take(now, added.saturating_mul(MICRO));
            }
        }
        self.peers.insert(from.clone(), usage);
    }

    /// Removes a peer's process.
    pub fn remove_peer(&mut self, daemon: &DaemonId) {
        self.peers.remove(daemon);
    }
}

impl Account {
    /// Returns the retry delay for a refused caller: until the bucket has room, and later than
    /// for the callers refused before.
    fn schedule_retry(&mut self, now: Timestamp, wait: Duration, cost: u64) -> Duration {
        let room_at = now.after(wait.min(MAX_WAIT));
        let latest = room_at.after(RETRY_SPREAD);
        let at = self.next_retry_at.max(room_at).min(latest);
        let interval = self.share.time_for(micro(cost)).min(RETRY_SPREAD);
        self.next_retry_at = at.after(interval);
        at.since(now)
    }
}

fn micro(units: u64) -> i64 {
    i64::try_from(units)
        .unwrap_or(i64::MAX)
        .saturating_mul(MICRO)
}

/// Returns the share of a quota's rate that a group of `reachable` daemons may use.
fn rate(quota: Quota, (reachable, all): (u32, u32)) -> i64 {
    let group_rate = i128::from(micro(quota.rate)) * i128::from(reachable) / i128::from(all);
    i64::try_from(group_rate).unwrap_or(i64::MAX)
}

/// Returns one daemon's share of a quota's rate.
fn share_rate(quota: Quota, (_, all): (u32, u32)) -> i64 {
    rate(quota, (1, all))
}

fn share(now: Timestamp, quota: Quota, members: (u32, u32)) -> Bucket {
    Bucket::empty(now, share_rate(quota, members), SHARE_BURST)
}

fn bucket(now: Timestamp, quota: Quota, members: (u32, u32), known: Option<&Account>) -> Bucket {
    let burst = Duration::from_secs_f64(quota.burst.max(1) as f64 / quota.rate as f64);
    match known {
        Some(known) => known.bucket.resized(now, rate(quota, members), burst),
        None => Bucket::empty(now, rate(quota, members), burst),
    }
}
