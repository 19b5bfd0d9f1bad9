//! Fairness and starvation among waiting calls, for any mix of customers.

use std::collections::BTreeMap;

use crate::support::{at, call_attributes, endpoint, gateway, prompt, rules};
use laburnumstall_core::gateway::{AdmissionTicket, AdmittedCall, CallAttempt, Gateway, Start};
use laburnumstall_core::prelude::*;
use quickcheck::{Gen, QuickCheck};

/// Starts of the calls of each customer at an engine that takes one prompt at a time.
fn starts(asked: &[u8]) -> Vec<u32> {
    let mut rules = rules(2);
    let template = rules.customers.remove(0);
    rules.customers = (0..asked.len())
        .map(|number| {
            let mut customer = template.clone();
            customer.name = format!("customer-{number}").parse().unwrap();
            customer.keys = vec![format!("key-{number}").into()];
            customer.quota = None;
            customer
        })
        .collect();
    let mut gateway = gateway(&[endpoint("a", "model", "north-a")]);
    gateway.on_rules(at(0), rules);
    let mut waiting: BTreeMap<AdmissionTicket, (usize, AdmittedCall)> = BTreeMap::new();
    let mut running: Vec<(usize, AdmittedCall, CallAttempt)> = Vec::new();
    let mut starts = vec![0; asked.len()];
    for ms in 0..6_000_u64 {
        let now = at(ms);
        if ms.is_multiple_of(250) {
            gateway.on_store_confirmed(now, now);
            gateway.tick(now);
        }
        for (customer, asked) in asked.iter().enumerate() {
            // Each asks for at least its part of the engine, and for up to ten times as much.
            let interval = 1_000 / (8 + u64::from(asked % 80));
            if ms.is_multiple_of(interval) {
                let mut attributes = call_attributes(&format!("call-{ms}-{customer}"), "/query/1");
                attributes.key = Some(format!("key-{customer}").into());
                attributes.prompt = Some(prompt(0, 0, 3_000));
                attributes.prompt.as_mut().unwrap().parts.clear();
                let mut call = gateway.admit(now, attributes).unwrap();
                start(&mut gateway, now, customer, &mut call, &mut running);
                if let Some(ticket) = call.ticket {
                    waiting.insert(ticket, (customer, call));
                }
            }
        }
        if ms.is_multiple_of(64) && !running.is_empty() {
            let (customer, mut call, mut attempt) = running.remove(0);
            gateway.on_started(now, &mut call, &mut attempt);
            gateway.succeed(now, attempt);
            gateway.end(now, call, "answered", 200);
            starts[customer] += 1;
        }
        gateway.dispatch_waiting(now);
        loop {
            let woken = gateway.take_woken_calls();
            if woken.is_empty() {
                break;
            }
            for (customer, mut call) in woken.iter().filter_map(|ticket| waiting.remove(ticket)) {
                start(&mut gateway, now, customer, &mut call, &mut running);
            }
        }
    }
    starts
}

fn start(
    gateway: &mut Gateway,
    now: Timestamp,
    customer: usize,
    call: &mut AdmittedCall,
    running: &mut Vec<(usize, AdmittedCall, CallAttempt)>,
) {
    match gateway.try_start(now, call) {
        Start::Send(attempt) => running.push((customer, call.clone(), attempt)),
        Start::Wait(_) => {}
        Start::Refuse(_) => gateway.end(now, call.clone(), "refused", 503),
    }
}

/// A customer that gets nothing, or less than half of an equal part, beside others that ask for up to
/// ten times as much. Load: two to six customers of the same weight, each of which asks for at least
/// its part of an engine, for 6 s.
#[test]
fn no_customer_starves() {
    fn property(asked: Vec<u8>) -> bool {
        let asked: Vec<u8> = asked.into_iter().take(6).collect();
        if asked.len() < 2 {
            return true;
        }
        let starts = starts(&asked);
        let all: u32 = starts.iter().sum();
        let equal = all / starts.len() as u32;
        starts.iter().all(|started| *started >= equal / 2)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(64, 11))
        .tests(20)
        .quickcheck(property as fn(Vec<u8>) -> bool);
}
