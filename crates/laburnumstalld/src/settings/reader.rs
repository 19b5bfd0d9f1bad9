//! Reads settings from flags or variables and collects the faults.

use std::fmt::Display;
use std::ops::RangeInclusive;
use std::str::FromStr;

use super::environment::{Environment, variable_of};
use super::fault::SettingFault;

/// An unparsed setting and the flag or variable that it is from.
#[derive(Debug, Clone)]
struct RawSetting {
    source: String,
    text: String,
}

/// Reads settings one by one; a flag overrides its variable.
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

    /// Adds a fault in a flag, a variable or, with an empty source, the command line.
    pub(super) fn add_fault(&mut self, source: impl Into<String>, text: impl Into<String>) {
        self.faults.push(SettingFault {
            source: source.into(),
            text: text.into(),
        });
    }

    /// Returns whether a setting has a fault.
    pub(super) fn has_fault(&self, name: &str) -> bool {
        let (flag, variable) = (format!("--{name}"), variable_of(name));
        let mut sources = self.faults.iter().map(|fault| &fault.source);
        sources.any(|source| *source == flag || *source == variable)
    }

    /// Returns all faults found.
    pub(super) fn into_faults(self) -> Vec<SettingFault> {
        self.faults
    }

    /// Reads an optional setting.
    pub(super) fn optional<T>(&mut self, name: &str, flag: Option<String>) -> Option<T>
    where
        T: FromStr<Err: Display>,
    {
        let raw = self.raw(name, flag)?;
        self.parse(raw)
    }

    /// Reads a required setting.
    pub(super) fn required<T>(&mut self, name: &str, flag: Option<String>) -> Option<T>
    where
        T: FromStr<Err: Display>,
    {
        let Some(raw) = self.raw(name, flag) else {
            let text = format!("missing; give it or set {}", variable_of(name));
            self.add_fault(format!("--{name}"), text);
            return None;
        };
        self.parse(raw)
    }

    /// Reads an integer within a range; the default applies if it is absent or invalid.
    pub(super) fn number(
        &mut self,
        name: &str,
        flag: Option<String>,
        range: RangeInclusive<u64>,
        default: u64,
    ) -> u64 {
        let Some(raw) = self.raw(name, flag) else {
            return default;
        };
        match raw.text.parse() {
            Ok(number) if range.contains(&number) => number,
            _ => {
                let (low, high) = range.into_inner();
                let text = format!("`{}` is not a whole number from {low} to {high}", raw.text);
                self.add_fault(raw.source, text);
                default
            }
        }
    }

    /// Reads a list from repeated flags or comma-separated items.
    pub(super) fn list<T>(&mut self, name: &str, flags: Vec<String>) -> Vec<T>
    where
        T: FromStr<Err: Display>,
    {
        let flag = (!flags.is_empty()).then(|| flags.join(","));
        let Some(raw) = self.raw(name, flag) else {
            return Vec::new();
        };
        let items = raw.text.split(',').map(str::trim);
        items
            .filter_map(|item| {
                self.parse(RawSetting {
                    source: raw.source.clone(),
                    text: item.to_owned(),
                })
            })
            .collect()
    }

    fn raw(&self, name: &str, flag: Option<String>) -> Option<RawSetting> {
        if let Some(text) = flag {
            let source = format!("--{name}");
            return Some(RawSetting { source, text });
        }
        let source = variable_of(name);
        let text = self.env.get(&source)?;
        Some(RawSetting { source, text })
    }

    fn parse<T>(&mut self, raw: RawSetting) -> Option<T>
    where
        T: FromStr<Err: Display>,
    {
        match raw.text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                self.add_fault(raw.source, error.to_string());
                None
            }
        }
    }
}
