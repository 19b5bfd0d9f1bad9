//! Admission control: rate limits of customers' contracts, fair queues and retry budgets.
//!
//! [`Limits`] admits or rejects requests at one entry. A contract is enforced across all
//! entries: each holds an even share and lends the capacity that it does not need, see
//! [`LimitShare`]. [`FairQueue`] orders admitted requests that wait for an endpoint.
//! [`RetryBudget`] limits retries and hedges to a fraction of the requests.

mod account;
mod backoff;
pub(crate) mod bucket;
mod delayed_share;
mod fair_queue;
mod rate_share;
mod retry_budget;
mod retry_window;
mod share;

use std::collections::BTreeMap;
use std::time::Duration;

use crate::prelude::*;
use account::Account;
pub use backoff::Backoff;
pub use delayed_share::DelayedShare;
pub use fair_queue::{FairQueue, QueuePlace};
pub use retry_budget::RetryBudget;
pub use retry_window::RetryWindow;
pub use share::{Demand, LimitShare, Loan};

/// Interval between two [`LimitShare`] messages, and the burst duration of a token bucket.
pub const SHARE_PERIOD: Duration = Duration::from_secs(2);

/// Capacity of a customer's contract that is reserved for an admitted request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reservation {
    /// Customer whose contract is charged.
    pub customer: CustomerId,
    /// Reserved tokens: the prompt and the maximum answer length.
    pub tokens: Tokens,
}

/// One entry's shares of all contracts.
#[derive(Debug, Clone)]
pub struct Limits {
    own: DaemonId,
    entries: u32,
    accounts: BTreeMap<CustomerId, Account>,
    contracts: BTreeMap<CustomerId, Contract>,
    /// Loan expiry in each peer's latest share message; detects outdated messages.
    share_expiries: BTreeMap<DaemonId, Timestamp>,
}

impl Limits {
    /// Creates limits without customers, for a daemon that is the only entry.
    pub fn new(own: &DaemonId) -> Self {
        Self {
            own: own.clone(),
            entries: 1,
            accounts: BTreeMap::new(),
            contracts: BTreeMap::new(),
            share_expiries: BTreeMap::new(),
        }
    }

    /// Replaces all contracts by those of a configuration.
    pub fn set_system(&mut self, system: &System) {
        self.contracts = system
            .customers
            .iter()
            .map(|customer| (customer.name.clone(), customer.contract.clone()))
            .collect();
        let contracts = &self.contracts;
        self.accounts.retain(|name, _| contracts.contains_key(name));
        for (name, contract) in contracts {
            self.accounts
                .entry(name.clone())
                .and_modify(|account| account.set_contract(contract))
                .or_insert_with(|| Account::new(contract, self.entries));
        }
    }

    /// Sets the number of live entries among which contracts are split.
    ///
    /// A smaller share applies immediately; a larger share applies once the loans granted
    /// by removed entries have expired.
    pub fn set_entries(&mut self, now: Timestamp, live_entries: u32) {
        self.entries = live_entries.max(1);
        for account in self.accounts.values_mut() {
            account.set_entries(now, self.entries);
        }
    }

    /// Admits or rejects a request, and reserves its capacity from the contract.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Forbidden`] if the contract does not cover the service,
    /// [`ErrorKind::Overloaded`] if the first token is expected after the deadline, and
    /// [`ErrorKind::LimitReached`] if the contract's rate limit is exhausted; the last two
    /// carry a retry delay.
    pub fn admit(
        &mut self,
        now: Timestamp,
        request: &Request,
        expected_first_token: Option<Duration>,
        journal: &mut Journal,
    ) -> Result<Reservation, Refusal> {
        let outcome = self.try_admit(now, request, expected_first_token);
        journal.record(admission_decision(
            now,
            request,
            expected_first_token,
            &outcome,
        ));
        outcome
    }

    /// Settles a reservation: charges the tokens used and refunds the rest.
    pub fn settle(&mut self, now: Timestamp, reservation: Reservation, used: Tokens) {
        if let Some(account) = self.accounts.get_mut(&reservation.customer) {
            account.settle(now, reservation.tokens, used);
        }
    }

    /// Returns the message to broadcast to all other entries every [`SHARE_PERIOD`].
    pub fn share(&mut self, now: Timestamp) -> LimitShare {
        let mut share = LimitShare {
            until: now.after(rate_share::LOAN_DURATION),
            demands: Vec::new(),
            loans: Vec::new(),
        };
        for (customer, account) in &mut self.accounts {
            account.add_to_share(now, customer, &mut share);
        }
        share
    }

    /// Applies a share message from another entry.
    pub fn on_share(&mut self, now: Timestamp, from: &DaemonId, share: &LimitShare) {
        let known = self.share_expiries.get(from).copied();
        let is_stale = share.until <= now || known.is_some_and(|known| known >= share.until);
        if *from == self.own || is_stale {
            return;
        }
        self.share_expiries.retain(|_, until| *until > now);
        self.share_expiries.insert(from.clone(), share.until);
        for (customer, account) in &mut self.accounts {
            let mut demands = share.demands.iter();
            account.on_demand(
                now,
                from,
                demands.find(|demand| demand.customer == *customer),
            );
            let is_to_self = |loan: &&Loan| loan.to == self.own && loan.customer == *customer;
            account.on_loan(now, from, share.loans.iter().find(is_to_self), share.until);
        }
    }

    fn try_admit(
        &mut self,
        now: Timestamp,
        request: &Request,
        expected_first_token: Option<Duration>,
    ) -> Result<Reservation, Refusal> {
        let contract = self
            .contracts
            .get(&request.customer)
            .ok_or_else(|| Refusal::new(ErrorKind::Forbidden, "no contract"))?;
        let covers = contract.services.is_empty() || contract.services.contains(&request.service);
        if !covers {
            return Err(Refusal::new(ErrorKind::Forbidden, "service not covered"));
        }
        check_deadline(now, request, expected_first_token)?;
        let tokens = request.prompt.plus(request.answer);
        let account = self
            .accounts
            .get_mut(&request.customer)
            .ok_or_else(|| Refusal::new(ErrorKind::Forbidden, "no contract"))?;
        account.take(now, tokens)?;
        Ok(Reservation {
            customer: request.customer.clone(),
            tokens,
        })
    }
}

fn check_deadline(
    now: Timestamp,
    request: &Request,
    expected_first_token: Option<Duration>,
) -> Result<(), Refusal> {
    let remaining = request.deadline.since(now);
    let expected = expected_first_token.unwrap_or(Duration::ZERO);
    if expected <= remaining && !remaining.is_zero() {
        return Ok(());
    }
    let refusal = Refusal::new(ErrorKind::Overloaded, "first token after the deadline");
    Err(refusal.with_retry_after(expected.saturating_sub(remaining)))
}

fn admission_decision(
    now: Timestamp,
    request: &Request,
    expected_first_token: Option<Duration>,
    outcome: &Result<Reservation, Refusal>,
) -> Decision {
    let (choice, reason) = match outcome {
        Ok(_) => ("accept", "within-limits"),
        Err(refusal) => ("refuse", refusal.kind.name()),
    };
    let mut decision = Decision::new(now, DecisionKind::Admit, choice, reason)
        .with("customer", &request.customer)
        .with("service", &request.service)
        .with("tokens", request.prompt.plus(request.answer))
        .with("deadline", request.deadline);
    if let Some(expected) = expected_first_token {
        decision = decision.with("first_token_us", expected.as_micros());
    }
    if let Some(wait) = outcome
        .as_ref()
        .err()
        .and_then(|refusal| refusal.retry_after)
    {
        decision = decision.with("retry_after_us", wait.as_micros());
    }
    decision
}
