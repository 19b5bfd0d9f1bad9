//! Decision records: one for each routing, placement or recovery decision.
//!
//! A component pushes records into a [`Journal`]; the daemon writes each as one log line
//! of key=value pairs. The same events give the same records, so a recorded session can
//! be compared line by line.

use std::fmt;

use compact_str::{CompactString, format_compact};
use serde::{Deserialize, Serialize};

use crate::units::Timestamp;
use crate::{domain, domain_value};

domain_value! {
    /// What was decided about.
    #[serde(rename_all = "kebab-case")]
    pub enum DecisionKind {
        /// Whether a request is accepted.
        Admit,
        /// Which endpoint runs an attempt.
        Route,
        /// Who may dispatch a non-idempotent request.
        Claim,
        /// Where a request's copy is kept.
        Standby,
        /// Which daemon goes on with a request.
        TakeOver,
        /// What follows a failed attempt.
        Retry,
        /// Whether a request is suspected of crashing endpoints.
        Quarantine,
        /// Whether a daemon or an endpoint is usable.
        Membership,
        /// Whether a connection is still alive.
        Connection,
        /// Whether a configuration is adopted.
        Configuration,
        /// Who gives orders.
        Lease,
        /// What is bought, loaded or given back.
        Placement,
        /// Which call to the key-value service waits.
        Budget,
        /// How a request ended.
        Finish,
        /// What a stopping daemon does next.
        Stop,
    }
}

impl DecisionKind {
    /// Returns the name written in logs.
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
        /// Name, in lower case with underscores.
        pub name: CompactString,
        /// Value as text.
        pub value: CompactString,
    }
}

/// One decision with its reason, its inputs and the alternatives that were weighed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Decision {
    /// When it was taken.
    pub at: Timestamp,
    /// What it was about.
    pub kind: DecisionKind,
    /// Choice, as a short word.
    pub choice: CompactString,
    /// Why, as a short word.
    pub reason: CompactString,
    /// Inputs and alternatives.
    pub fields: Vec<Field>,
}

impl Decision {
    /// Starts a record of a choice and its reason.
    pub fn new(at: Timestamp, kind: DecisionKind, choice: &str, reason: &str) -> Self {
        Self {
            at,
            kind,
            choice: choice.into(),
            reason: reason.into(),
            fields: Vec::new(),
        }
    }

    /// Adds an input.
    pub fn with(mut self, name: &'static str, value: impl fmt::Display) -> Self {
        self.fields.push(Field {
            name: CompactString::const_new(name),
            value: format_compact!("{value}"),
        });
        self
    }

    /// Returns the value of an input.
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

/// Writes a value, in quotes when it holds a space, a quote, an equals sign or a control character.
pub fn write_value(f: &mut impl fmt::Write, value: &str) -> fmt::Result {
    let is_plain = |c: char| !c.is_whitespace() && !c.is_control() && c != '"' && c != '=';
    if !value.is_empty() && value.chars().all(is_plain) {
        f.write_str(value)
    } else {
        write!(f, "{value:?}")
    }
}

/// Collects the decisions of one call.
#[derive(Debug, Clone, Default)]
pub struct Journal {
    decisions: Vec<Decision>,
}

impl Journal {
    /// Adds a record.
    pub fn record(&mut self, decision: Decision) {
        self.decisions.push(decision);
    }

    /// Takes all records, in order.
    pub fn take(&mut self) -> Vec<Decision> {
        std::mem::take(&mut self.decisions)
    }

    /// Returns the records so far.
    pub fn decisions(&self) -> &[Decision] {
        &self.decisions
    }
}
