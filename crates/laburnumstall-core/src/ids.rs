//! Identifiers of machines, zones, customers, services, daemons and requests.
//!
//! Each identifier is a newtype with `Display` and `FromStr` that are inverse to each
//! other, so that a value taken from a log line can be searched for and parsed again.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::{domain_value, quantity, text_id};

/// Longest identifier accepted, in bytes.
pub const MAX_ID_BYTES: usize = 128;

/// An identifier or quantity that could not be read from text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseIdError {
    kind: &'static str,
    text: String,
    expected: &'static str,
}

impl ParseIdError {
    /// Describes `text`, which is not a valid `kind`, and what was expected.
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

/// Checks that `text` is one to [`MAX_ID_BYTES`] visible ASCII characters.
///
/// # Errors
///
/// Returns [`ParseIdError`] for an empty, over-long or non-visible text.
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
    /// Name of a virtual machine, as the cloud API gives it.
    VmId;
    /// Name of an availability zone, unique over all regions.
    AvailabilityZone;
    /// Name of a region: a group of availability zones.
    Region;
    /// Name of a machine class in the cloud API.
    VmClass;
    /// Name of a customer: the party that holds a contract.
    CustomerId;
    /// Name of a service in the operators' text.
    ServiceName;
    /// Name of a model.
    ModelName;
    /// Name of an adapter loaded over a model.
    AdapterName;
    /// Version of a model, an adapter or an application.
    VersionName;
    /// Name of an endpoint: one back-end process on one VM.
    EndpointId;
    /// Key by which a caller marks repetitions of one request.
    IdempotencyKey;
    /// Name of an operator, for the configuration's history.
    OperatorName;
    /// Name of a section of the configuration.
    SectionName;
}

quantity! {
    /// Number of one process life of a daemon; a later life has a higher number.
    Incarnation, "";
    /// Revision of the configuration; only grows.
    Revision, "";
    /// Number that orders the holders of a lease; a later holder has a higher number.
    FencingToken, "";
    /// Number that pairs a call to the key-value service with its reply.
    CallId, "";
    /// Number that one daemon gives to a caller's connection.
    CallerId, "";
    /// Number of the ownership of a request; each take-over adds one.
    Epoch, "";
    /// Index of an event in a stream, counted from zero.
    EventIndex, "";
}

domain_value! {
    /// Short hash that decides which entries know of a request.
    pub struct LookupHash(pub u32);

    /// Hash of a customer, a service and a request body: equal for equal requests.
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

/// One process life of one daemon.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct DaemonId {
    /// VM that the daemon runs on.
    pub vm: VmId,
    /// Life of the process on that VM.
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

/// Name of an accepted request: its first owner, a number and the hash of its home.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId {
    /// Daemon that accepted the request.
    pub owner: DaemonId,
    /// Number given by that daemon.
    pub sequence: u64,
    /// Hash by which any entry finds the daemons that know of the request.
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

/// One try to run a request on an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// Request that is tried.
    pub request: RequestId,
    /// Number of the try, from one; grows over all owners of the request.
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
