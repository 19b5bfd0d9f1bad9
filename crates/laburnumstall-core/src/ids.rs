//! Identifiers of VMs, zones, customers, services, daemons and requests.
//!
//! `Display` and `FromStr` of each identifier are inverse to each other, so that a value
//! copied from a log line can be searched for and parsed.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::{domain_value, quantity, text_id};

/// Maximum length of an identifier in bytes.
pub const MAX_ID_BYTES: usize = 128;

/// An error from parsing an identifier or a quantity.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseIdError {
    kind: &'static str,
    text: String,
    expected: &'static str,
}

impl ParseIdError {
    /// Creates an error for `text`, which is not a valid `kind`, with the expected format.
    pub fn new(kind: &'static str, text: &str, expected: &'static str) -> Self {
        let text = text.chars().take(MAX_ID_BYTES).collect();
        Self {
            kind,
            text,
            expected,
        }
    }
}

impl fmt::Display for ParseIdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "`{}` is not a valid {}: expected {}",
            self.text, self.kind, self.expected
        )
    }
}

impl std::error::Error for ParseIdError {}

/// Checks that `text` is 1 to [`MAX_ID_BYTES`] visible ASCII characters.
///
/// # Errors
///
/// Returns [`ParseIdError`] if `text` is empty, too long or has other characters.
pub fn check_text_id(kind: &'static str, text: &str) -> Result<(), ParseIdError> {
    let is_visible = text.bytes().all(|b| b.is_ascii_graphic());
    if text.is_empty() || text.len() > MAX_ID_BYTES || !is_visible {
        return Err(ParseIdError::new(
            kind,
            text,
            "1 to 128 visible ASCII characters",
        ));
    }
    Ok(())
}

text_id! {
    /// Name of a virtual machine in the cloud API.
    VmId;
    /// Name of an availability zone, unique across regions.
    AvailabilityZone;
    /// Name of a region: a group of availability zones.
    Region;
    /// Name of a machine class in the cloud API.
    VmClass;
    /// Name of a customer: a party with a contract.
    CustomerId;
    /// Name of a service in the configuration file.
    ServiceName;
    /// Name of a model.
    ModelName;
    /// Name of an adapter loaded on top of a model.
    AdapterName;
    /// Version of a model, an adapter or an application.
    VersionName;
    /// Version of the software that an endpoint runs; versions have no order.
    SoftwareVersion;
    /// Name of an endpoint: one backend process on one VM.
    EndpointId;
    /// Key that a caller repeats when it resends a request.
    IdempotencyKey;
    /// Name of an operator in the configuration history.
    OperatorName;
    /// Name of a section of the configuration.
    SectionName;
}

impl SoftwareVersion {
    /// Returns the text of a version for logs: `unknown` if there is none.
    pub fn text(version: Option<&Self>) -> &str {
        version.map_or("unknown", Self::as_str)
    }
}

quantity! {
    /// Incarnation number of a daemon process; increases with each restart.
    Incarnation, "";
    /// Revision number of the configuration; never decreases.
    Revision, "";
    /// Fencing token of a lease holder; each later holder has a higher one.
    FencingToken, "";
    /// Number that matches a reply of the key-value service to its call.
    CallId, "";
    /// Number that a daemon assigns to a caller's connection.
    CallerId, "";
    /// Ownership epoch of a request; increases with each takeover and each dropped standby.
    Epoch, "";
    /// Index of an event in a stream, starting at zero.
    EventIndex, "";
}

domain_value! {
    /// Rendezvous hash key that selects the entries with a record of a request.
    pub struct LookupHash(pub u32);

    /// Hash of a request's customer, service, path and body: equal for equal requests.
    pub struct Fingerprint(pub u64);
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for Fingerprint {
    type Err = ParseIdError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(s, 16)
            .map(Self)
            .map_err(|_| ParseIdError::new("Fingerprint", s, "up to 16 hexadecimal digits"))
    }
}

/// One incarnation of a daemon process.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct DaemonId {
    /// VM on which the daemon runs.
    pub vm: VmId,
    /// Incarnation of the process on that VM.
    pub incarnation: Incarnation,
}

impl fmt::Display for DaemonId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.vm, self.incarnation)
    }
}

impl FromStr for DaemonId {
    type Err = ParseIdError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let error = || ParseIdError::new("DaemonId", s, "VM@INCARNATION");
        let (vm, incarnation) = s.rsplit_once('@').ok_or_else(error)?;
        Ok(Self {
            vm: vm.parse().map_err(|_| error())?,
            incarnation: incarnation.parse().map_err(|_| error())?,
        })
    }
}

/// Identifier of an accepted request: first owner, sequence number and lookup hash.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId {
    /// Daemon that accepted the request.
    pub owner: DaemonId,
    /// Sequence number assigned by that daemon.
    pub sequence: u64,
    /// Hash by which any entry finds the daemons with a record of the request.
    #[serde(rename = "home")]
    pub lookup_hash: LookupHash,
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "r-{}-{}-{:08x}",
            self.owner, self.sequence, self.lookup_hash.0
        )
    }
}

impl FromStr for RequestId {
    type Err = ParseIdError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let error = || ParseIdError::new("RequestId", s, "r-VM@INCARNATION-SEQUENCE-HOME");
        let rest = s.strip_prefix("r-").ok_or_else(error)?;
        let (rest, lookup_hash) = rest.rsplit_once('-').ok_or_else(error)?;
        let (owner, sequence) = rest.rsplit_once('-').ok_or_else(error)?;
        Ok(Self {
            owner: owner.parse().map_err(|_| error())?,
            sequence: sequence.parse().map_err(|_| error())?,
            lookup_hash: LookupHash(u32::from_str_radix(lookup_hash, 16).map_err(|_| error())?),
        })
    }
}

/// Identifier of one attempt to run a request on an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// Request that the attempt runs.
    pub request: RequestId,
    /// Attempt number, starting at one and increasing across owners of the request.
    pub number: u32,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.request, self.number)
    }
}

impl FromStr for AttemptId {
    type Err = ParseIdError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let error = || ParseIdError::new("AttemptId", s, "REQUEST/NUMBER");
        let (request, number) = s.rsplit_once('/').ok_or_else(error)?;
        Ok(Self {
            request: request.parse().map_err(|_| error())?,
            number: number.parse().map_err(|_| error())?,
        })
    }
}
