//! Decision records: one per routing, placement or recovery decision.
//!
//! Components append records to a [`Journal`]; the daemon writes each as one log line of
//! key=value pairs. Equal events yield equal records, so a replayed session can be
//! compared line by line.

use std::fmt;

use compact_str::{CompactString, format_compact};
use serde::{Deserialize, Serialize};

use crate::units::Timestamp;
use crate::{domain, domain_value};

domain_value! {
    /// Subject of a decision.
    #[serde(rename_all = "kebab-case")]
    pub enum DecisionKind {
        /// Whether a request is accepted.
        Admit,
        /// Which endpoint runs an attempt.
        Route,
        /// Which daemon may dispatch a non-idempotent request.
        Claim,
        /// Which standby holds the copy of a request.
        Standby,
        /// Which daemon continues a request.
        TakeOver,
        /// How a request recovers from a failed attempt.
        Retry,
        /// Whether a request is suspected to crash endpoints.
        Quarantine,
        /// Whether a daemon or an endpoint is usable.
        Membership,
        /// Whether a connection is still alive.
        Connection,
        /// Whether a configuration is adopted.
        Configuration,
        /// Which daemon holds the placement lease.
        Lease,
        /// Which VMs are purchased, loaded or released.
        Placement,
        /// Which call to the key-value service is delayed.
        Budget,
        /// How a request ended.
        Finish,
        /// Next step of a daemon's shutdown.
        Stop,
        /// At which software version a stream goes on that a caller takes up.
        Resume,
        /// Whether a call that waits for capacity is sent.
        Wait,
    }
}

impl DecisionKind {
    /// Returns the name that log lines use.
    pub fn name(self) -> &'static str {
        match self {
            Self::Admit => "admit",
            Self::Route => "route",
            Self::Claim => "claim",
            Self::Standby => "standby",
            Self::TakeOver => "take-over",
            Self::Retry => "retry",
            Self::Quarantine => "quarantine",
            Self::Membership => "membership",
            Self::Connection => "connection",
            Self::Configuration => "configuration",
            Self::Lease => "lease",
            Self::Placement => "placement",
            Self::Budget => "budget",
            Self::Finish => "finish",
            Self::Stop => "stop",
            Self::Resume => "resume",
            Self::Wait => "wait",
        }
    }
}

impl fmt::Display for DecisionKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

domain! {
    /// One key=value pair of a decision.
    pub struct Field {
        /// Name in snake case.
        pub name: CompactString,
        /// Value, formatted as text.
        pub value: CompactString,
    }
}

/// A decision with its reason, inputs and the alternatives considered.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Decision {
    /// Time of the decision.
    pub at: Timestamp,
    /// Subject of the decision.
    pub kind: DecisionKind,
    /// Choice, as a short keyword.
    pub choice: CompactString,
    /// Reason, as a short keyword.
    pub reason: CompactString,
    /// Inputs and alternatives, in the order in which they were added.
    pub fields: Vec<Field>,
}

impl Decision {
    /// Creates a record of a choice and its reason, without fields.
    pub fn new(at: Timestamp, kind: DecisionKind, choice: &str, reason: &str) -> Self {
        Self {
            at,
            kind,
            choice: choice.into(),
            reason: reason.into(),
            fields: Vec::new(),
        }
    }

    /// Appends a field.
    pub fn with(mut self, name: &'static str, value: impl fmt::Display) -> Self {
        self.fields.push(Field {
            name: CompactString::const_new(name),
            value: format_compact!("{value}"),
        });
        self
    }

    /// Returns the value of the first field with a name.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields
            .iter()
            .find(|field| field.name == name)
            .map(|field| field.value.as_str())
    }
}

impl fmt::Display for Decision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "t={} event={} choice=", self.at, self.kind)?;
        write_value(f, &self.choice)?;
        write!(f, " reason=")?;
        write_value(f, &self.reason)?;
        for field in &self.fields {
            write!(f, " {}=", field.name)?;
            write_value(f, &field.value)?;
        }
        Ok(())
    }
}

/// Writes a value, quoted if it is empty or contains whitespace, `"`, `=` or control characters.
pub fn write_value(f: &mut impl fmt::Write, value: &str) -> fmt::Result {
    let is_plain = |c: char| !c.is_whitespace() && !c.is_control() && c != '"' && c != '=';
    if !value.is_empty() && value.chars().all(is_plain) {
        f.write_str(value)
    } else {
        write!(f, "{value:?}")
    }
}

/// Decision records collected during one call.
#[derive(Debug, Clone, Default)]
pub struct Journal {
    decisions: Vec<Decision>,
}

impl Journal {
    /// Appends a record.
    pub fn record(&mut self, decision: Decision) {
        self.decisions.push(decision);
    }

    /// Removes and returns all records, in order.
    pub fn take(&mut self) -> Vec<Decision> {
        std::mem::take(&mut self.decisions)
    }

    /// Returns the records collected so far.
    pub fn decisions(&self) -> &[Decision] {
        &self.decisions
    }
}
