//! Reads single settings from a flag or its variable and collects the faults.

use std::fmt::Display;
use std::ops::RangeInclusive;
use std::str::FromStr;

use super::environment::{Environment, variable_of};
use super::fault::SettingFault;

/// A setting's text and where it was given.
#[derive(Debug, Clone)]
struct Given {
    source: String,
    text: String,
}

/// Reads settings one by one; a flag goes before its variable.
#[derive(Debug)]
pub(super) struct Reader<'a, E> {
    env: &'a E,
    faults: Vec<SettingFault>,
}

impl<'a, E: Environment> Reader<'a, E> {
    pub(super) fn new(env: &'a E) -> Self {
        Self {
            env,
            faults: Vec::new(),
        }
    }

    /// Adds a fault about a flag, a variable or, with an empty source, the whole.
    pub(super) fn fault(&mut self, source: impl Into<String>, text: impl Into<String>) {
        self.faults.push(SettingFault {
            source: source.into(),
            text: text.into(),
        });
    }

    /// Tells whether a setting was given and is wrong.
    pub(super) fn is_faulty(&self, name: &str) -> bool {
        let (flag, variable) = (format!("--{name}"), variable_of(name));
        let mut sources = self.faults.iter().map(|fault| &fault.source);
        sources.any(|source| *source == flag || *source == variable)
    }

    /// Returns all faults found.
    pub(super) fn into_faults(self) -> Vec<SettingFault> {
        self.faults
    }

    /// Reads a setting that may be absent.
    pub(super) fn optional<T>(&mut self, name: &str, flag: Option<String>) -> Option<T>
    where
        T: FromStr<Err: Display>,
    {
        let given = self.given(name, flag)?;
        self.parse(given)
    }

    /// Reads a setting that must be given.
    pub(super) fn required<T>(&mut self, name: &str, flag: Option<String>) -> Option<T>
    where
        T: FromStr<Err: Display>,
    {
        let Some(given) = self.given(name, flag) else {
            let text = format!("missing; give it or set {}", variable_of(name));
            self.fault(format!("--{name}"), text);
            return None;
        };
        self.parse(given)
    }

    /// Reads a whole number within a range, or takes the default.
    pub(super) fn number(
        &mut self,
        name: &str,
        flag: Option<String>,
        range: RangeInclusive<u64>,
        default: u64,
    ) -> u64 {
        let Some(given) = self.given(name, flag) else {
            return default;
        };
        match given.text.parse() {
            Ok(number) if range.contains(&number) => number,
            _ => {
                let (low, high) = range.into_inner();
                let text = format!(
                    "`{}` is not a whole number from {low} to {high}",
                    given.text
                );
                self.fault(given.source, text);
                default
            }
        }
    }

    /// Reads a list whose items are repeated or separated by commas.
    pub(super) fn list<T>(&mut self, name: &str, flags: Vec<String>) -> Vec<T>
    where
        T: FromStr<Err: Display>,
    {
        let flag = (!flags.is_empty()).then(|| flags.join(","));
        let Some(given) = self.given(name, flag) else {
            return Vec::new();
        };
        let items = given.text.split(',').map(str::trim);
        items
            .filter_map(|item| {
                self.parse(Given {
                    source: given.source.clone(),
                    text: item.to_owned(),
                })
            })
            .collect()
    }

    fn given(&self, name: &str, flag: Option<String>) -> Option<Given> {
        if let Some(text) = flag {
            let source = format!("--{name}");
            return Some(Given { source, text });
        }
        let source = variable_of(name);
        let text = self.env.get(&source)?;
        Some(Given { source, text })
    }

    fn parse<T>(&mut self, given: Given) -> Option<T>
    where
        T: FromStr<Err: Display>,
    {
        match given.text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                self.fault(given.source, error.to_string());
                None
            }
        }
    }
}
