//! `check FILE`: reads a text and reports all of its faults.

use std::fmt;

use compact_str::CompactString;
use laburnumstall_config::digest;
use laburnumstall_core::domain;

use super::read_text;
use crate::cli::CheckOptions;
use crate::context::Context;
use crate::error::CommandError;

domain! {
    /// A valid text in short.
    pub struct CheckResult {
        /// File of the text.
        pub file: String,
        /// BLAKE3 digest of the canonical text, in hexadecimal.
        pub digest: CompactString,
        /// Number of availability zones.
        pub zones: usize,
        /// Number of machine classes.
        pub classes: usize,
        /// Number of services.
        pub services: usize,
        /// Number of customers.
        pub customers: usize,
    }
}

impl fmt::Display for CheckResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} is valid: {} zones, {} classes, {} services, {} customers\ndigest {}",
            self.file, self.zones, self.classes, self.services, self.customers, self.digest
        )
    }
}

/// Runs the command.
///
/// # Errors
///
/// Returns [`CommandError`] if the text cannot be read or has faults.
pub async fn run(cx: &Context<'_>, options: CheckOptions) -> Result<(), CommandError> {
    let file = options.file.display().to_string();
    cx.status("Checking", &file);
    let system = read_text(&options.file)?.system;
    cx.present(&CheckResult {
        file,
        digest: digest(&system),
        zones: system.zones.len(),
        classes: system.classes.len(),
        services: system.services.len(),
        customers: system.customers.len(),
    })
}
