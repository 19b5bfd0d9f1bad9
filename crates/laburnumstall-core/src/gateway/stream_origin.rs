//! Which service and software version began a stream that a caller may take up again.
//!
//! What two versions write does not fit together, so a stream goes on only at the version
//! that began it. [`OriginTable`] holds the origins of this daemon's own streams and those
//! that peers sent, each until its caller can no longer come back.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use crate::hash::digest64;
use crate::ids::{ServiceName, SoftwareVersion};
use crate::units::Timestamp;
use crate::{domain, domain_value};

/// Time after the deadline of a call within which its caller may take the stream up.
pub const RETURN_TIME: Duration = Duration::from_secs(15);
/// Maximum number of origins in the table.
pub const MAX_ORIGINS: usize = 65_536;

domain_value! {
    /// Digest of the identifier of a caller's attempt.
    #[serde(from = "[u8; 8]", into = "[u8; 8]")]
    pub struct AttemptDigest(pub u64);
}

domain! {
    /// Service and software version that began a stream.
    #[derive(Eq, PartialOrd, Ord)]
    pub struct StreamOrigin {
        /// Service that runs the stream.
        pub service: ServiceName,
        /// Version of the software of its first endpoint.
        pub version: SoftwareVersion,
    }

    /// Streams with the same origin, sent to the peers that keep a copy.
    #[derive(Eq)]
    pub struct OriginGroup {
        /// Origin of the streams.
        pub origin: StreamOrigin,
        /// Attempts that brought the first event of each stream, with the seconds for which
        /// the origin is kept.
        pub streams: Vec<(AttemptDigest, u8)>,
    }
}

impl AttemptDigest {
    /// Computes the digest of an attempt's identifier.
    pub fn of(id: &str) -> Self {
        Self(digest64(&[id.as_bytes()]))
    }
}

impl From<[u8; 8]> for AttemptDigest {
    fn from(bytes: [u8; 8]) -> Self {
        Self(u64::from_le_bytes(bytes))
    }
}

impl From<AttemptDigest> for [u8; 8] {
    fn from(digest: AttemptDigest) -> Self {
        digest.0.to_le_bytes()
    }
}

domain_value! {
    /// How a daemon knows the origin of a stream.
    #[serde(rename_all = "kebab-case")]
    pub enum OriginSource {
        /// It served the stream.
        Own,
        /// A peer sent it.
        Peer,
        /// It read the key-value store.
        Stored,
    }
}

impl OriginSource {
    /// Returns the name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Peer => "peer",
            Self::Stored => "stored",
        }
    }
}

/// Origin in an [`OriginTable`].
#[derive(Debug, Clone)]
pub struct KnownOrigin {
    /// The origin.
    pub origin: Arc<StreamOrigin>,
    /// How it is known.
    pub source: OriginSource,
    /// When it was recorded.
    pub recorded_at: Timestamp,
    /// Whether this daemon has stored it, or will.
    is_stored: bool,
    expires_at: Timestamp,
}

/// Bounded table of stream origins; the origins that expire first are evicted first.
#[derive(Debug, Clone, Default)]
pub struct OriginTable {
    entries: HashMap<AttemptDigest, KnownOrigin>,
    by_expiry: BTreeSet<(Timestamp, AttemptDigest)>,
    /// Own streams whose origin no peer has, by service.
    unsent: BTreeMap<ServiceName, Vec<AttemptDigest>>,
}

impl OriginTable {
    /// Records the origin of a stream; the first recorded one stays, with the later expiry.
    pub fn record(
        &mut self,
        now: Timestamp,
        attempt: AttemptDigest,
        origin: &Arc<StreamOrigin>,
        source: OriginSource,
        expires_at: Timestamp,
    ) {
        let entry = self.entries.entry(attempt).or_insert_with(|| KnownOrigin {
            origin: Arc::clone(origin),
            source,
            recorded_at: now,
            is_stored: false,
            expires_at,
        });
        self.by_expiry.remove(&(entry.expires_at, attempt));
        entry.expires_at = entry.expires_at.max(expires_at);
        self.by_expiry.insert((entry.expires_at, attempt));
        if self.entries.len() > MAX_ORIGINS
            && let Some((_, evicted)) = self.by_expiry.pop_first()
        {
            self.entries.remove(&evicted);
        }
    }

    /// Records the origin of an own stream, which no peer has yet.
    pub fn record_own(
        &mut self,
        now: Timestamp,
        attempt: AttemptDigest,
        origin: &Arc<StreamOrigin>,
        expires_at: Timestamp,
    ) {
        self.record(now, attempt, origin, OriginSource::Own, expires_at);
        let unsent = self.unsent.entry(origin.service.clone()).or_default();
        unsent.push(attempt);
    }

    /// Returns the origin of a stream by the attempt that brought its first event.
    pub fn get(&self, now: Timestamp, attempt: AttemptDigest) -> Option<&KnownOrigin> {
        let entry = self.entries.get(&attempt)?;
        (now < entry.expires_at).then_some(entry)
    }

    /// Returns all origins, each with the time until which it is kept.
    pub fn iter(&self) -> impl Iterator<Item = (AttemptDigest, &Arc<StreamOrigin>, Timestamp)> {
        let entries = self.entries.iter();
        entries.map(|(attempt, entry)| (*attempt, &entry.origin, entry.expires_at))
    }

    /// Returns the services with own streams whose origin no peer has.
    pub fn unsent_services(&self) -> impl Iterator<Item = &ServiceName> {
        self.unsent.keys()
    }

    /// Takes the own streams of a service whose origin this daemon has not stored, with the time
    /// until which each origin is kept. Peers still get them.
    pub fn take_unstored(
        &mut self,
        service: &ServiceName,
    ) -> Vec<(AttemptDigest, Arc<StreamOrigin>, Timestamp)> {
        let unsent = self.unsent.get(service).into_iter().flatten();
        let entries = &mut self.entries;
        let unstored = unsent.filter_map(|attempt| {
            let entry = entries.get_mut(attempt)?;
            let is_stored = std::mem::replace(&mut entry.is_stored, true);
            (!is_stored).then(|| (*attempt, Arc::clone(&entry.origin), entry.expires_at))
        });
        unstored.collect()
    }

    /// Takes the own streams of a service whose origin no peer has, with the time until which
    /// each origin is kept.
    pub fn take_unsent(
        &mut self,
        service: &ServiceName,
    ) -> Vec<(AttemptDigest, Arc<StreamOrigin>, Timestamp)> {
        let unsent = self.unsent.remove(service).unwrap_or_default();
        let entries = &self.entries;
        let known = unsent
            .into_iter()
            .filter_map(|attempt| Some((attempt, entries.get(&attempt)?)));
        known
            .map(|(attempt, entry)| (attempt, Arc::clone(&entry.origin), entry.expires_at))
            .collect()
    }

    /// Removes expired origins.
    pub fn remove_expired(&mut self, now: Timestamp) {
        while let Some((at, attempt)) = self.by_expiry.first().copied()
            && at <= now
        {
            self.by_expiry.remove(&(at, attempt));
            self.entries.remove(&attempt);
        }
        let entries = &self.entries;
        self.unsent.retain(|_, attempts| {
            attempts.retain(|attempt| entries.contains_key(attempt));
            !attempts.is_empty()
        });
    }

    /// Returns the number of origins.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there is no origin.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
