//! What every command is given: the settings and the shell.

use std::fmt::Display;

use serde::Serialize;
use snafu::ResultExt;

use crate::admin_client::AdminClient;
use crate::error::{CommandError, WriteJsonSnafu, WriteResultSnafu};
use crate::settings::Settings;
use crate::shell::Shell;

/// Settings and shell of one run.
pub struct Context<'s> {
    settings: Settings,
    shell: &'s Shell,
}

impl<'s> Context<'s> {
    /// Puts settings and shell together.
    pub fn new(settings: Settings, shell: &'s Shell) -> Self {
        Self { settings, shell }
    }

    /// Returns the settings.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns the shell.
    pub fn shell(&self) -> &Shell {
        self.shell
    }

    /// Says what is being done, unless messages are turned off.
    pub fn status(&self, verb: &str, text: impl Display) {
        if !self.settings.quiet {
            self.shell.status(verb, text);
        }
    }

    /// Writes the result: for a person, or in JSON if that is set.
    ///
    /// # Errors
    ///
    /// Returns [`CommandError`] if standard output cannot be written.
    pub fn present<T: Display + Serialize>(&self, result: &T) -> Result<(), CommandError> {
        if self.settings.json {
            let json = serde_json::to_string_pretty(result).context(WriteJsonSnafu)?;
            return self.shell.result(&json).context(WriteResultSnafu);
        }
        self.shell.result(result).context(WriteResultSnafu)
    }

    /// Returns a client of the daemons' admin interface.
    ///
    /// # Errors
    ///
    /// Returns [`CommandError`] if no address or no key is set.
    pub(crate) fn admin(&self) -> Result<AdminClient, CommandError> {
        AdminClient::new(&self.settings)
    }
}
