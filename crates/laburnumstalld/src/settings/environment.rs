//! Environment variables of the process or of a test.

use std::collections::BTreeMap;

/// Prefix of all variables that the daemon reads.
pub const VARIABLE_PREFIX: &str = "LABURNUMSTALLD_";

/// A source of environment variables.
pub trait Environment {
    /// Returns the value of a variable, `None` if it is unset.
    fn get(&self, name: &str) -> Option<String>;

    /// Returns the names of all variables with [`VARIABLE_PREFIX`], sorted.
    fn names(&self) -> Vec<String>;
}

/// The environment of this process.
#[derive(Debug, Clone, Copy, Default)]
pub struct ProcessEnvironment;

impl Environment for ProcessEnvironment {
    fn get(&self, name: &str) -> Option<String> {
        let value = std::env::var_os(name)?;
        Some(value.to_string_lossy().into_owned())
    }

    fn names(&self) -> Vec<String> {
        let mut names: Vec<_> = std::env::vars_os()
            .map(|(name, _)| name.to_string_lossy().into_owned())
            .filter(|name| name.starts_with(VARIABLE_PREFIX))
            .collect();
        names.sort();
        names
    }
}

impl Environment for BTreeMap<&str, &str> {
    fn get(&self, name: &str) -> Option<String> {
        BTreeMap::get(self, name).map(|value| (*value).to_owned())
    }

    fn names(&self) -> Vec<String> {
        self.keys()
            .filter(|name| name.starts_with(VARIABLE_PREFIX))
            .map(|name| (*name).to_owned())
            .collect()
    }
}

/// Returns the name of a flag's variable.
pub fn variable_of(flag: &str) -> String {
    let name = flag.replace('-', "_").to_uppercase();
    format!("{VARIABLE_PREFIX}{name}")
}
