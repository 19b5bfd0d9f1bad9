//! Offers that the cloud refused, with exponential backoff.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::placement::plan::Offer;
use crate::units::Timestamp;

/// Backoff after the first refusal of an offer.
pub const INITIAL_BACKOFF: Duration = Duration::from_secs(10);

/// Maximum backoff of an offer.
pub const MAX_BACKOFF: Duration = Duration::from_secs(600);

/// Time without a refusal after which an offer's backoff is reset.
const RESET_AFTER: Duration = Duration::from_secs(1_800);

#[derive(Debug, Clone)]
struct Refusal {
    until: Timestamp,
    backoff: Duration,
}

/// Offers that the cloud refused recently.
#[derive(Debug, Clone, Default)]
pub struct Refusals {
    refused: BTreeMap<Offer, Refusal>,
}

impl Refusals {
    /// Records a refusal; one that arrives during the backoff changes nothing, because it
    /// answers an earlier request.
    pub fn record_refusal(&mut self, now: Timestamp, offer: &Offer) {
        let backoff = match self.refused.get(offer) {
            Some(earlier) if now < earlier.until => return,
            Some(earlier) => (earlier.backoff * 2).min(MAX_BACKOFF),
            None => INITIAL_BACKOFF,
        };
        let until = now.after(backoff);
        self.refused
            .insert(offer.clone(), Refusal { until, backoff });
    }

    /// Records that an offer was granted, which resets its backoff.
    pub fn record_grant(&mut self, offer: &Offer) {
        self.refused.remove(offer);
    }

    /// Returns the offers that are in backoff now.
    pub fn in_backoff(&mut self, now: Timestamp) -> BTreeSet<Offer> {
        self.refused
            .retain(|_, refusal| now < refusal.until.after(RESET_AFTER));
        self.refused
            .iter()
            .filter(|(_, refusal)| now < refusal.until)
            .map(|(offer, _)| offer.clone())
            .collect()
    }
}
