//! Faults of settings: all that are found, in one message.

use std::fmt;

/// One fault of the settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingFault {
    /// Flag or variable that the fault is about; empty for the command line as a whole.
    pub source: String,
    /// What is wrong and what was expected.
    pub text: String,
}

impl fmt::Display for SettingFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.source.is_empty() {
            return f.write_str(&self.text);
        }
        write!(f, "{}: {}", self.source, self.text)
    }
}

/// All faults of the settings; the process exits with [`SettingsError::EXIT_CODE`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError {
    /// The faults, in the order of the flags.
    pub faults: Vec<SettingFault>,
}

impl SettingsError {
    /// Exit code of a process whose settings are wrong.
    pub const EXIT_CODE: u8 = 2;
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let count = self.faults.len();
        let noun = if count == 1 { "fault" } else { "faults" };
        write!(f, "{count} {noun} in the settings:")?;
        for fault in &self.faults {
            write!(f, "\n  {fault}")?;
        }
        write!(f, "\nlaburnumstalld --help lists all settings")
    }
}

impl std::error::Error for SettingsError {}
