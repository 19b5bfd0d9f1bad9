//! Customers' quotas over all daemons.
//!
//! Every daemon holds a bucket of each customer's whole quota, takes from it what it lets
//! through, and takes from it again what the others tell that they let through. While all
//! hear each other, a customer may spend its quota at any daemon, and the sum is over the
//! quota by what is let through in the time that news need. A daemon that does not hear
//! some of the others fills its buckets only with its part, so that groups that do not
//! hear each other never add up to more than the whole.
//!
//! Answers a customer that asks for several times its quota at many daemons: its refused
//! calls come back when the bucket has room again, everywhere at once. So when little is
//! left, each daemon lets through its own share of the rate alone, and tells each refused
//! caller a time behind those that it told the ones before.

use std::collections::BTreeMap;
use std::time::Duration;

use super::gossip::GOSSIP_PERIOD;
use super::rules::{CustomerRule, Quota, QuotaUnit};
use crate::domain;
use crate::ids::{CustomerId, DaemonId};
use crate::limits::bucket::{Bucket, MICRO};
use crate::units::Timestamp;

/// Part of the burst that is kept for each rank that goes before a call's, in hundredths.
const RESERVE_PERCENT: u64 = 10;
/// Ranks for which more is kept.
const MAX_RESERVE_RANKS: u64 = 5;
/// Time after the last news for which a daemon's spending is extrapolated.
const EXTRAPOLATED: Duration = Duration::from_millis(600);
/// What a daemon's share may save up: the time between two news, after which the others
/// know what it let through.
const SHARE_BURST: Duration = GOSSIP_PERIOD;
/// Most time by which the waits told to refused callers are spread: callers keep to a
/// third of what they have left, which is about a second for short calls.
const SPREAD: Duration = Duration::from_secs(1);
/// Longest wait that is told: the longest time in which a caller may still be there.
const MAX_WAIT: Duration = Duration::from_secs(60);
/// Weight of the newest news in a daemon's rate of spending.
const NEWEST_WEIGHT: f64 = 0.4;

domain! {
    /// Units of one customer's quota that a daemon's process has let through so far.
    #[derive(Eq)]
    pub struct QuotaUsage {
        /// The customer.
        pub customer: CustomerId,
        /// Units since the process started.
        pub units: u64,
    }
}

#[derive(Debug, Clone)]
struct Account {
    quota: Quota,
    bucket: Bucket,
    /// This daemon's share of the rate, for when little is left of the whole.
    share: Bucket,
    /// When the caller that was refused last was told to come back.
    promised: Timestamp,
    spent: u64,
}

/// What one other daemon's process has let through.
#[derive(Debug, Clone)]
struct PeerUsage {
    at: Timestamp,
    /// Units so far, and units a second of late.
    spent: BTreeMap<CustomerId, (u64, f64)>,
}

/// The quotas of all customers at one daemon.
#[derive(Debug, Clone, Default)]
pub struct QuotaLedger {
    accounts: BTreeMap<CustomerId, Account>,
    peers: BTreeMap<DaemonId, PeerUsage>,
    /// Daemons that are heard and that there are, with this one.
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

    /// Takes over the customers of a configuration; a new bucket starts empty, since a
    /// daemon that starts does not know what was let through before.
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
                    promised: now,
                    spent: known.map_or(0, |known| known.spent),
                    quota,
                },
            };
            accounts.insert(customer.name.clone(), account);
        }
        self.accounts = accounts;
    }

    /// Takes over how many daemons there are and how many of them are heard.
    pub fn set_members(&mut self, now: Timestamp, heard: u32, all: u32) {
        let members = (heard.max(1), all.max(heard).max(1));
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

    /// Returns the units of a call of `tokens`; `None` means that it does not tell them.
    pub fn cost(&self, customer: &CustomerId, tokens: Option<u64>) -> u64 {
        match self.accounts.get(customer).map(|account| account.quota) {
            None => 0,
            Some(quota) if quota.unit == QuotaUnit::Calls => 1,
            Some(quota) => tokens.unwrap_or(quota.default_cost),
        }
    }

    /// Takes `cost` units for a call of `rank`.
    ///
    /// A call may overdraw the bucket, which is filled before the next one is let through:
    /// otherwise a customer's largest calls would find it full too rarely. Less urgent
    /// calls leave a part to more urgent ones; those without a prompt may overdraw the bucket
    /// by a whole burst.
    ///
    /// # Errors
    ///
    /// The time after which they can be taken, if they cannot be now.
    pub fn take(
        &mut self,
        now: Timestamp,
        customer: &CustomerId,
        cost: u64,
        rank: u8,
    ) -> Result<(), Duration> {
        let unheard = self.unheard(now, customer);
        let others = u64::from(self.members.0 - 1);
        let Some(account) = self.accounts.get_mut(customer) else {
            return Ok(());
        };
        let burst = account.quota.burst;
        // Refusing a call without a prompt frees next to nothing.
        let is_small = cost <= account.quota.default_cost;
        let needed = match is_small {
            true => -micro(burst),
            false => {
                micro(burst * RESERVE_PERCENT / 100 * u64::from(rank).min(MAX_RESERVE_RANKS) + 1)
            }
        };
        let needed = needed.saturating_add(micro(unheard));
        let whole = account.bucket.wait(now, needed).unwrap_or(Duration::MAX);
        // With less than a call like this for each other daemon, all of them may be letting
        // one through now.
        let ample = needed.saturating_add(micro(others * cost));
        let is_ample = account.bucket.wait(now, ample) == Some(Duration::ZERO);
        let own = match is_small || is_ample {
            true => Duration::ZERO,
            false => account.share.wait(now, micro(1)).unwrap_or(Duration::MAX),
        };
        let wait = whole.max(own);
        if wait > Duration::ZERO {
            return Err(account.promise(now, wait, cost));
        }
        account.bucket.take(now, micro(cost));
        account.spent += cost;
        if !is_small && !is_ample {
            account.share.take(now, micro(cost));
        }
        Ok(())
    }

    /// Returns what the others have likely let through since their last news.
    fn unheard(&self, now: Timestamp, customer: &CustomerId) -> u64 {
        let of = |heard: &PeerUsage| {
            let (_, rate) = heard.spent.get(customer)?;
            Some(rate * now.since(heard.at).min(EXTRAPOLATED).as_secs_f64())
        };
        self.peers.values().filter_map(of).sum::<f64>() as u64
    }

    /// Gives back units of a call that did not run.
    pub fn give_back(&mut self, now: Timestamp, customer: &CustomerId, cost: u64) {
        if let Some(account) = self.accounts.get_mut(customer) {
            account.bucket.take(now, -micro(cost));
            account.spent = account.spent.saturating_sub(cost);
        }
    }

    /// Returns what this process has let through, for the others.
    pub fn spent(&self) -> Vec<QuotaUsage> {
        let spent = |(customer, account): (&CustomerId, &Account)| QuotaUsage {
            customer: customer.clone(),
            units: account.spent,
        };
        self.accounts.iter().map(spent).collect()
    }

    /// Takes in what another process has let through. Its first word is the base that
    /// later ones are compared with.
    pub fn on_spent(&mut self, now: Timestamp, from: &DaemonId, spent: &[QuotaUsage]) {
        let known = self.peers.remove(from);
        let span = known
            .as_ref()
            .map_or(0.0, |known| now.since(known.at).as_secs_f64());
        let mut heard = PeerUsage {
            at: now,
            spent: BTreeMap::new(),
        };
        for QuotaUsage { customer, units } in spent {
            let before = known
                .as_ref()
                .map(|known| known.spent.get(customer).copied().unwrap_or_default());
            let (before, rate) = before.unwrap_or((*units, 0.0));
            let more =
                i64::try_from(*units).unwrap_or(i64::MAX) - i64::try_from(before).unwrap_or(0);
            let newest = if span > 0.0 {
                (more.max(0)) as f64 / span
            } else {
                rate
            };
            let rate = rate * (1.0 - NEWEST_WEIGHT) + newest * NEWEST_WEIGHT;
            heard.spent.insert(customer.clone(), (*units, rate));
            if let Some(account) = self.accounts.get_mut(customer) {
                account.bucket.take(now, more.saturating_mul(MICRO));
            }
        }
        self.peers.insert(from.clone(), heard);
    }

    /// Forgets a process that is gone.
    pub fn forget(&mut self, daemon: &DaemonId) {
        self.peers.remove(daemon);
    }
}

impl Account {
    /// Returns the wait told to a refused caller: when there is room, behind those that
    /// were told before.
    fn promise(&mut self, now: Timestamp, wait: Duration, cost: u64) -> Duration {
        let room_at = now.after(wait.min(MAX_WAIT));
        let latest = room_at.after(SPREAD);
        let at = self.promised.max(room_at).min(latest);
        let turn = self.share.time_for(micro(cost)).min(SPREAD);
        self.promised = at.after(turn);
        at.since(now)
    }
}

fn micro(units: u64) -> i64 {
    i64::try_from(units)
        .unwrap_or(i64::MAX)
        .saturating_mul(MICRO)
}

/// Returns the part of a quota's rate that the daemons that hear each other may use.
fn rate(quota: Quota, (heard, all): (u32, u32)) -> i64 {
    let part = i128::from(micro(quota.rate)) * i128::from(heard) / i128::from(all);
    i64::try_from(part).unwrap_or(i64::MAX)
}

/// Returns one daemon's part of a quota's rate.
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
