//! `drain VM`: lets a VM finish or move its work and take no more.

use std::fmt;

use laburnumstall_config::admin::{DRAIN_PATH, DrainRequest};
use laburnumstall_core::domain;
use laburnumstall_core::ids::VmId;
use snafu::OptionExt;

use crate::admin_client::AdminCall;
use crate::cli::DrainOptions;
use crate::context::Context;
use crate::error::{CommandError, NotGivenSnafu};

domain! {
    /// A VM that is being drained.
    pub struct DrainResult {
        /// The VM.
        pub vm: VmId,
    }
}

impl fmt::Display for DrainResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} takes no new work; its work ends or moves", self.vm)
    }
}

/// Runs the command.
///
/// # Errors
///
/// Returns [`CommandError`] if no daemon answers or knows the VM.
pub async fn run(cx: &Context<'_>, options: DrainOptions) -> Result<(), CommandError> {
    let vm = options.vm.context(NotGivenSnafu {
        what: "the VM",
        hint: "`laburnumstall status` lists the VMs",
    })?;
    cx.status("Draining", &vm);
    let request = DrainRequest { vm };
    let call = AdminCall::post("drain the VM", DRAIN_PATH, &request)?;
    cx.admin()?.send(&call).await?.check_success()?;
    cx.present(&DrainResult { vm: request.vm })
}
