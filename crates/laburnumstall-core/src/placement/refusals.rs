//! Offers that the cloud refused, left alone for a time that doubles with each refusal.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::placement::plan::Offer;
use crate::units::Timestamp;

/// Time that an offer is left alone after its first refusal.
pub const INITIAL_BACKOFF: Duration = Duration::from_secs(10);

/// Longest time that an offer is left alone.
pub const MAX_BACKOFF: Duration = Duration::from_secs(600);

/// Time without a refusal after which the backoff begins anew.
const FORGET_AFTER: Duration = Duration::from_secs(1_800);

#[derive(Debug, Clone)]
struct Refusal {
    until: Timestamp,
    backoff: Duration,
}

/// What the cloud refused lately, by class, market and zone.
#[derive(Debug, Clone, Default)]
pub struct Refusals {
    refused: BTreeMap<Offer, Refusal>,
}

impl Refusals {
    /// Notes a refusal; one that answers an earlier request of the same time changes nothing.
    pub fn refuse(&mut self, now: Timestamp, offer: &Offer) {
        let backoff = match self.refused.get(offer) {
            Some(known) if now < known.until => return,
            Some(known) => (known.backoff * 2).min(MAX_BACKOFF),
            None => INITIAL_BACKOFF,
        };
        let until = now.after(backoff);
        self.refused
            .insert(offer.clone(), Refusal { until, backoff });
    }

    /// Notes that the offer can be had.
    pub fn grant(&mut self, offer: &Offer) {
        self.refused.remove(offer);
    }

    /// Returns the offers to leave alone now.
    pub fn excluded(&mut self, now: Timestamp) -> BTreeSet<Offer> {
        self.refused
            .retain(|_, refusal| now < refusal.until.after(FORGET_AFTER));
        self.refused
            .iter()
            .filter(|(_, refusal)| now < refusal.until)
            .map(|(offer, _)| offer.clone())
            .collect()
    }
}
