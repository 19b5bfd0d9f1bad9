//! Faults in the settings, reported together.

use std::fmt;

/// A fault in one setting.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingFault {
    /// Flag or variable with the fault; empty for the command line as a whole.
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

/// All faults in the settings; the process exits with [`SettingsError::EXIT_CODE`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError {
    /// The faults, in the order of the flags.
    pub faults: Vec<SettingFault>,
}

impl SettingsError {
    /// Exit code for invalid settings.
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
