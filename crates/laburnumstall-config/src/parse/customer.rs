//! Reads customers and their contracts.

use std::time::Duration;

use compact_str::CompactString;
use laburnumstall_core::resources::{Contract, Customer};
use laburnumstall_core::units::Priority;

use super::ParseContext;
use super::names::NameKind;
use crate::reader::{Located, TableView};
use crate::scalar;

const CUSTOMER_KEYS: [&str; 3] = ["name", "key_digests", "contract"];
const CONTRACT_KEYS: [&str; 7] = [
    "requests",
    "tokens",
    "weight",
    "priority",
    "first_token",
    "between_tokens",
    "services",
];

/// Highest weight of a contract.
const MAX_WEIGHT: u64 = 1_000_000;

/// Highest priority that is passed to engines.
const MAX_PRIORITY: u64 = 1000;

const DEFAULT_WEIGHT: u64 = 1;
const DEFAULT_PRIORITY: u64 = 0;
const DEFAULT_FIRST_TOKEN: Duration = Duration::from_secs(1);
const DEFAULT_BETWEEN_TOKENS: Duration = Duration::from_millis(51);

const DIGESTS: &str = "a list of BLAKE3 digests, 64 hexadecimal digits in lower case each";

pub(super) fn read_customer<'t>(
    cx: &mut ParseContext<'t>,
    view: &TableView<'t>,
) -> Option<Customer> {
    cx.reader.check_keys(view, &CUSTOMER_KEYS);
    let name = cx.plain_name(view, NameKind::Customer);
    let key_digests = read_digests(cx, view);
    cx.reader
        .require(view, "contract", "a table `[customer.contract]`");
    let contract = cx.reader.table(view, "contract");
    let label = name.as_ref().map_or("", |name| name.value);
    let contract = contract.and_then(|contract| read_contract(cx, &contract, label));
    Some(Customer {
        name: name?.value.parse().ok()?,
        key_digests,
        contract: contract?,
    })
}

fn read_digests<'t>(cx: &mut ParseContext<'t>, view: &TableView<'t>) -> Vec<CompactString> {
    cx.reader.require(view, "key_digests", DIGESTS);
    let digests = cx.reader.texts(view, "key_digests");
    for digest in &digests {
        if !scalar::is_digest(digest.value) {
            let message = format!(
                "a key digest of {} characters",
                digest.value.chars().count()
            );
            cx.reader.bad_value(&digest.span, message, DIGESTS);
            continue;
        }
        cx.names
            .declare(&mut cx.reader, NameKind::KeyDigest, digest);
    }
    digests.iter().map(|digest| digest.value.into()).collect()
}

fn read_contract<'t>(
    cx: &mut ParseContext<'t>,
    view: &TableView<'t>,
    customer: &str,
) -> Option<Contract> {
    cx.reader.check_keys(view, &CONTRACT_KEYS);
    cx.reader
        .require(view, "requests", "a rate such as \"20req/s\"");
    cx.reader
        .require(view, "tokens", "a rate such as \"4000tok/s\"");
    let requests = cx.reader.quantity(view, "requests", "req/s");
    let tokens = cx.reader.quantity(view, "tokens", "tok/s");
    let weight = cx.number_or(view, "weight", 1, MAX_WEIGHT, DEFAULT_WEIGHT);
    let priority = cx.number_or(view, "priority", 0, MAX_PRIORITY, DEFAULT_PRIORITY);
    let first_token = cx.duration_or(view, "first_token", DEFAULT_FIRST_TOKEN);
    let between_tokens = cx.duration_or(view, "between_tokens", DEFAULT_BETWEEN_TOKENS);
    let services = cx.reader.texts(view, "services");
    for service in &services {
        cx.names.refer(NameKind::Service, service);
    }
    if let Some(first_token) = first_token {
        let span = view.key_span("first_token");
        cx.names.promise(customer, &services, first_token, span);
    }
    Some(Contract {
        requests: requests?,
        tokens: tokens?,
        weight: weight? as u32,
        priority: Priority(priority?),
        first_token: first_token?,
        between_tokens: between_tokens?,
        services: names(&services),
    })
}

/// Converts the names that are valid; the others have a fault as unknown names.
pub(super) fn names<T: std::str::FromStr>(texts: &[Located<&str>]) -> Vec<T> {
    texts
        .iter()
        .filter_map(|text| text.value.parse().ok())
        .collect()
}

impl<'t> ParseContext<'t> {
    /// Reads a whole number, or takes the default if the key is absent.
    pub(super) fn number_or(
        &mut self,
        view: &TableView<'t>,
        key: &str,
        low: u64,
        high: u64,
        default: u64,
    ) -> Option<u64> {
        match view.has(key) {
            true => self.reader.number(view, key, low, high),
            false => Some(default),
        }
    }

    /// Reads a duration, or takes the default if the key is absent.
    pub(super) fn duration_or(
        &mut self,
        view: &TableView<'t>,
        key: &str,
        default: Duration,
    ) -> Option<Duration> {
        match view.has(key) {
            true => self.reader.duration(view, key),
            false => Some(default),
        }
    }
}
