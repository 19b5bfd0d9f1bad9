//! The operators' changes: keys and time-outs.

use std::time::Duration;

use laburnumstall_platform_standins::{RuleSet, ServiceRoutes};
use tokio::time::sleep;

use super::{POLL, ROUTE_TIMEOUT, SERVICES, SHORTEST_TIMEOUT, World};
use crate::plan::Fault;

/// Customers, each with one key at first.
const CUSTOMERS: [&str; 3] = ["chambers", "registry", "shipping"];

/// A customer's key, in time since the start.
#[derive(Debug, Clone)]
pub(crate) struct KeyState {
    pub(crate) customer: String,
    pub(crate) key: String,
    /// When the service took the configuration that has it.
    pub(crate) added_at: Option<Duration>,
    /// When the configuration without it was sent, and when the service took it.
    pub(crate) withdrawn: Option<(Duration, Option<Duration>)>,
}

impl World {
    pub(super) async fn change_rules(&self, fault: &Fault) {
        let index = match fault {
            Fault::ChangeTimeout => {
                let [least, most] =
                    [SHORTEST_TIMEOUT, ROUTE_TIMEOUT].map(|timeout| timeout.as_millis() as u64);
                let mut rules = self.rules.borrow_mut();
                for service in &mut rules.services {
                    // Never above the first one, which the checks go by.
                    service.timeout_ms = fastrand::u64(least..=most);
                }
                None
            }
            Fault::AddKey => Some(self.add_key()),
            _ => self.withdraw_key(),
        };
        {
            let mut rules = self.rules.borrow_mut();
            rules.version += fastrand::u64(1..4);
            rules.customers = self.customers();
        }
        self.write_rules().await;
        let acknowledged = Some(self.elapsed());
        if let Some(index) = index {
            let state = &mut self.keys.borrow_mut()[index];
            match &mut state.withdrawn {
                Some((_, at)) => *at = acknowledged,
                None => state.added_at = acknowledged,
            }
        }
    }

    /// Writes the newest configuration once the store accepts it.
    pub(super) async fn write_rules(&self) {
        loop {
            let (key, value) = self.rules.borrow().stored();
            if self.store.write(key, value) {
                return;
            }
            sleep(POLL).await;
        }
    }

    fn add_key(&self) -> usize {
        let mut keys = self.keys.borrow_mut();
        let customer = CUSTOMERS[keys.len() % CUSTOMERS.len()];
        let number = keys.len();
        keys.push(KeyState {
            customer: customer.to_owned(),
            key: format!("key-{number}-of-{customer}"),
            added_at: None,
            withdrawn: None,
        });
        number
    }

    /// Withdraws a key of a customer that has another one.
    fn withdraw_key(&self) -> Option<usize> {
        let customers = self.customers();
        let mut keys = self.keys.borrow_mut();
        let index = keys.iter().position(|state| {
            let of_customer = customers.iter().find(|(name, _)| *name == state.customer);
            let has_more = of_customer.is_some_and(|(_, keys)| keys.len() > 1);
            state.withdrawn.is_none() && state.added_at.is_some() && has_more
        })?;
        keys[index].withdrawn = Some((self.elapsed(), None));
        Some(index)
    }

    fn customers(&self) -> Vec<(String, Vec<String>)> {
        let keys = self.keys.borrow();
        let of = |customer: &&str| {
            let in_force = keys
                .iter()
                .filter(|state| state.customer == *customer && state.withdrawn.is_none());
            let keys = in_force.map(|state| state.key.clone()).collect();
            ((*customer).to_owned(), keys)
        };
        CUSTOMERS.iter().map(of).collect()
    }
}

pub(super) fn first_rules() -> RuleSet {
    let routes = |service: &&str| ServiceRoutes {
        service: (*service).to_owned(),
        timeout_ms: ROUTE_TIMEOUT.as_millis() as u64,
    };
    RuleSet {
        version: 1,
        services: SERVICES.iter().map(routes).collect(),
        customers: first_keys()
            .into_iter()
            .map(|state| (state.customer, vec![state.key]))
            .collect(),
    }
}

pub(super) fn first_keys() -> Vec<KeyState> {
    let key = |customer: &&str| KeyState {
        customer: (*customer).to_owned(),
        key: format!("key-of-{customer}"),
        added_at: Some(Duration::ZERO),
        withdrawn: None,
    };
    CUSTOMERS.iter().map(key).collect()
}
