//! One customer's part of its contract at one entry.

use std::time::Duration;

use super::SHARE_PERIOD;
use super::bucket::{Bucket, MICRO};
use super::share::{Demand, LimitShare, Loan};
use crate::error::{ErrorKind, Refusal};
use crate::ids::{CustomerId, DaemonId};
use crate::units::{Timestamp, Tokens};
use crate::world::Contract;

/// Requests and tokens that a customer may still use at this entry.
#[derive(Debug, Clone)]
pub(super) struct Account {
    entries: u32,
    requests_rate: i64,
    tokens_rate: i64,
    requests: Bucket,
    tokens: Bucket,
}

impl Account {
    pub(super) fn new(entries: u32) -> Self {
        Self {
            entries,
            requests_rate: 0,
            tokens_rate: 0,
            requests: Bucket::new(Timestamp::ZERO, 0, SHARE_PERIOD),
            tokens: Bucket::new(Timestamp::ZERO, 0, SHARE_PERIOD),
        }
    }

    pub(super) fn set_contract(&mut self, contract: &Contract) {
        self.requests_rate = rate(contract.requests.get());
        self.tokens_rate = rate(contract.tokens.get());
        let n = i64::from(self.entries);
        self.requests = Bucket::new(Timestamp::ZERO, self.requests_rate / n, SHARE_PERIOD);
        self.tokens = Bucket::new(Timestamp::ZERO, self.tokens_rate / n, SHARE_PERIOD);
    }

    pub(super) fn set_entries(&mut self, now: Timestamp, entries: u32) {
        self.entries = entries;
        let n = i64::from(entries);
        self.requests.set_rate(now, self.requests_rate / n);
        self.tokens.set_rate(now, self.tokens_rate / n);
    }

    /// Takes one request of `tokens`, or tells when it can be taken.
    pub(super) fn take(&mut self, now: Timestamp, tokens: Tokens) -> Result<(), Refusal> {
        let cost = rate(tokens.get());
        let wait = self
            .requests
            .wait(now, MICRO)
            .and_then(|first| Some(first.max(self.tokens.wait(now, cost)?)));
        match wait {
            Some(Duration::ZERO) => {
                self.requests.take(now, MICRO);
                self.tokens.take(now, cost);
                Ok(())
            }
            Some(wait) => {
                let refusal = Refusal::new(ErrorKind::LimitReached, "contract used up");
                Err(refusal.with_retry_after(wait))
            }
            None => Err(Refusal::new(ErrorKind::LimitReached, "contract of zero")),
        }
    }

    pub(super) fn settle(&mut self, now: Timestamp, reserved: Tokens, used: Tokens) {
        self.tokens
            .take(now, rate(used.get()).saturating_sub(rate(reserved.get())));
    }

    pub(super) fn add_to_share(
        &mut self,
        _now: Timestamp,
        _customer: &CustomerId,
        _share: &mut LimitShare,
    ) {
    }

    pub(super) fn on_demand(&mut self, _now: Timestamp, _from: &DaemonId, _demand: &Demand) {}

    pub(super) fn on_loan(
        &mut self,
        _now: Timestamp,
        _from: &DaemonId,
        _loan: &Loan,
        _until: Timestamp,
    ) {
    }
}

/// Converts whole units to millionths.
fn rate(units: u64) -> i64 {
    i64::try_from(units)
        .unwrap_or(i64::MAX)
        .saturating_mul(MICRO)
}
