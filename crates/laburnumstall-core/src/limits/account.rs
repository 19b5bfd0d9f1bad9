//! One customer's share of its contract at one entry.

use std::collections::BTreeMap;
use std::time::Duration;

use super::bucket::MICRO;
use super::rate_share::RateShare;
use super::share::{Demand, LimitShare, Loan};
use crate::error::{ErrorKind, Refusal};
use crate::ids::{CustomerId, DaemonId};
use crate::resources::Contract;
use crate::units::{Timestamp, Tokens};

/// Millionths per thousandth.
const MILLI: i64 = 1_000;

/// Request and token rate limits of one customer at this entry.
#[derive(Debug, Clone)]
pub(super) struct Account {
    requests: RateShare,
    tokens: RateShare,
}

impl Account {
    pub(super) fn new(contract: &Contract, entries: u32) -> Self {
        Self {
            requests: RateShare::new(micro(contract.requests.get()), entries),
            tokens: RateShare::new(micro(contract.tokens.get()), entries),
        }
    }

    pub(super) fn set_contract(&mut self, contract: &Contract) {
        self.requests.set_contract(micro(contract.requests.get()));
        self.tokens.set_contract(micro(contract.tokens.get()));
    }

    pub(super) fn set_entries(&mut self, now: Timestamp, entries: u32) {
        self.requests.set_entries(now, entries);
        self.tokens.set_entries(now, entries);
    }

    /// Charges one request of `tokens`, or returns a refusal with the retry delay.
    pub(super) fn take(&mut self, now: Timestamp, tokens: Tokens) -> Result<(), Refusal> {
        let cost = micro(tokens.get());
        self.requests.record_offered(MICRO);
        self.tokens.record_offered(cost);
        match self.wait(now, cost) {
            Some(Duration::ZERO) => {
                self.requests.take(now, MICRO);
                self.tokens.take(now, cost);
                Ok(())
            }
            Some(wait) => {
                let refusal = Refusal::new(ErrorKind::LimitReached, "contract used up");
                Err(refusal.with_retry_after(wait))
            }
            None => Err(Refusal::new(
                ErrorKind::Forbidden,
                "contract allows nothing",
            )),
        }
    }

    /// Returns the delay until a request of `cost` can be admitted; `None` if it never can.
    fn wait(&mut self, now: Timestamp, cost: i64) -> Option<Duration> {
        let wait = self
            .requests
            .wait(now, MICRO)?
            .max(self.tokens.wait(now, cost)?);
        let later = now.after(wait);
        if wait.is_zero() || later == Timestamp::NEVER {
            return Some(wait);
        }
        let remaining = self.clone().wait(later, cost)?;
        Some(later.after(remaining).since(now))
    }

    pub(super) fn settle(&mut self, now: Timestamp, reserved: Tokens, used: Tokens) {
        let difference = micro(used.get()).saturating_sub(micro(reserved.get()));
        self.tokens.take(now, difference);
    }

    /// Adds this customer's demand and loans to the message for peers.
    pub(super) fn add_to_share(
        &mut self,
        now: Timestamp,
        customer: &CustomerId,
        share: &mut LimitShare,
    ) {
        let demand = Demand {
            customer: customer.clone(),
            requests_milli: (self.requests.measure_demand(now) / MILLI).unsigned_abs(),
            tokens: (self.tokens.measure_demand(now) / MICRO).unsigned_abs(),
        };
        if demand.requests_milli > 0 || demand.tokens > 0 {
            share.demands.push(demand);
        }
        let mut loans: BTreeMap<DaemonId, Loan> = BTreeMap::new();
        let empty = |to: &DaemonId| Loan {
            to: to.clone(),
            customer: customer.clone(),
            requests_milli: 0,
            tokens: 0,
        };
        for (to, rate) in self.requests.lend(now, |rate| rate / MILLI * MILLI) {
            let loan = loans.entry(to.clone()).or_insert_with(|| empty(&to));
            loan.requests_milli = (rate / MILLI).unsigned_abs();
        }
        for (to, rate) in self.tokens.lend(now, |rate| rate / MICRO * MICRO) {
            let loan = loans.entry(to.clone()).or_insert_with(|| empty(&to));
            loan.tokens = (rate / MICRO).unsigned_abs();
        }
        share.loans.extend(loans.into_values());
    }

    /// Records a peer's demand; `None` counts as zero.
    pub(super) fn on_demand(&mut self, now: Timestamp, from: &DaemonId, demand: Option<&Demand>) {
        let requests = demand.map_or(0, |demand| demand.requests_milli);
        let tokens = demand.map_or(0, |demand| demand.tokens);
        self.requests.record_demand(now, from, milli(requests));
        self.tokens.record_demand(now, from, micro(tokens));
    }

    /// Applies a peer's loan; `None` counts as zero.
    pub(super) fn on_loan(
        &mut self,
        now: Timestamp,
        from: &DaemonId,
        loan: Option<&Loan>,
        until: Timestamp,
    ) {
        let requests = loan.map_or(0, |loan| loan.requests_milli);
        let tokens = loan.map_or(0, |loan| loan.tokens);
        self.requests.borrow(now, from, milli(requests), until);
        self.tokens.borrow(now, from, micro(tokens), until);
    }
}

/// Converts whole units to millionths.
fn micro(units: u64) -> i64 {
    saturating_i64(units).saturating_mul(MICRO)
}

/// Converts thousandths to millionths.
fn milli(units: u64) -> i64 {
    saturating_i64(units).saturating_mul(MILLI)
}

fn saturating_i64(units: u64) -> i64 {
    i64::try_from(units).unwrap_or(i64::MAX)
}
