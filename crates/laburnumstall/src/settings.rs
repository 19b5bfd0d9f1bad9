//! Settings of the command line: flags first, then environment variables, then defaults.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use compact_str::CompactString;
use laburnumstall_core::ids::OperatorName;

use crate::cli::Arguments;

/// Environment variables, as the help shows them.
pub(crate) const ENVIRONMENT_HELP: &str = "\
Environment:
  LABURNUMSTALL_ADMIN         ADDR[,ADDR...]  like --admin
  LABURNUMSTALL_OPERATOR_KEY  KEY             like --operator-key
  LABURNUMSTALL_OPERATOR      NAME            like --operator
  LABURNUMSTALL_TIMEOUT       TIME            like --timeout

Exit codes:
  0 done, 1 failed, 2 wrong arguments or settings, 3 conflict, 4 unreachable,
  5 accepted but not confirmed by every live daemon";

/// Longest time of one call, unless set.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(15);

/// Who applies, unless set.
const DEFAULT_OPERATOR: &str = "operator";

/// Key of an operator. It is never written out.
#[derive(Clone, PartialEq, Eq)]
pub struct OperatorKey(CompactString);

impl OperatorKey {
    /// Returns the key, for the header that carries it.
    pub(crate) fn reveal(&self) -> &str {
        &self.0
    }
}

impl FromStr for OperatorKey {
    type Err = fmt::Error;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let is_visible = !s.is_empty() && s.bytes().all(|b| b.is_ascii_graphic());
        is_visible.then(|| Self(s.into())).ok_or(fmt::Error)
    }
}

impl fmt::Debug for OperatorKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("OperatorKey(..)")
    }
}

/// Settings of one run.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Whether results are written in JSON.
    pub json: bool,
    /// Whether messages about what is being done are left out.
    pub quiet: bool,
    /// Addresses of the daemons' admin interface, tried in turn.
    pub admin: Vec<SocketAddr>,
    /// Key of the operator.
    pub operator_key: Option<OperatorKey>,
    /// Name of the operator.
    pub operator: OperatorName,
    /// Longest time of one call.
    pub timeout: Duration,
}

/// All settings that are wrong.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError {
    faults: Vec<String>,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "read the settings: {}", self.faults.join("; "))
    }
}

impl std::error::Error for SettingsError {}

/// Reads settings one by one and keeps what is wrong with them.
struct SettingsReader<E> {
    environment: E,
    faults: Vec<String>,
}

impl<E: Fn(&str) -> Option<String>> SettingsReader<E> {
    /// Reads a setting from its flag or its variable.
    fn read<T>(
        &mut self,
        flag: (&str, Option<&String>),
        variable: &str,
        expected: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        let (name, text) = match flag {
            (name, Some(text)) => (name, text.clone()),
            (_, None) => (variable, (self.environment)(variable)?),
        };
        let value = parse(&text);
        if value.is_none() {
            // The value may be a secret, so it is not repeated.
            self.faults.push(format!("{name} is not {expected}"));
        }
        value
    }
}

impl Settings {
    /// Reads the settings from flags and environment.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError`] with every setting that is wrong.
    pub fn read(
        arguments: &Arguments,
        environment: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, SettingsError> {
        let mut reader = SettingsReader {
            environment,
            faults: Vec::new(),
        };
        let admin = reader.read(
            ("--admin", arguments.admin.as_ref()),
            "LABURNUMSTALL_ADMIN",
            "a list of IP numbers with ports, such as 10.0.0.1:7700,10.0.0.2:7700",
            parse_addresses,
        );
        let operator_key = reader.read(
            ("--operator-key", arguments.operator_key.as_ref()),
            "LABURNUMSTALL_OPERATOR_KEY",
            "a key of visible ASCII characters",
            |text| text.parse().ok(),
        );
        let operator = reader.read(
            ("--operator", arguments.operator.as_ref()),
            "LABURNUMSTALL_OPERATOR",
            "a name of 1 to 128 visible ASCII characters",
            |text| text.parse().ok(),
        );
        let timeout = reader.read(
            ("--timeout", arguments.timeout.as_ref()),
            "LABURNUMSTALL_TIMEOUT",
            "a time above zero, such as 15s",
            parse_timeout,
        );
        if !reader.faults.is_empty() {
            return Err(SettingsError {
                faults: reader.faults,
            });
        }
        Ok(Self {
            json: arguments.json,
            quiet: arguments.quiet,
            admin: admin.unwrap_or_default(),
            operator_key,
            operator: operator.unwrap_or_else(default_operator),
            timeout: timeout.unwrap_or(DEFAULT_TIMEOUT),
        })
    }
}

fn default_operator() -> OperatorName {
    DEFAULT_OPERATOR
        .parse()
        .expect("the default is a valid name")
}

fn parse_addresses(text: &str) -> Option<Vec<SocketAddr>> {
    let addresses: Result<Vec<SocketAddr>, _> = text
        .split(',')
        .map(|address| address.trim().parse())
        .collect();
    addresses.ok()
}

fn parse_timeout(text: &str) -> Option<Duration> {
    let timeout = humantime::parse_duration(text).ok()?;
    (!timeout.is_zero()).then_some(timeout)
}
