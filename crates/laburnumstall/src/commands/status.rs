//! `status`: shows daemons, endpoints and requests as one daemon sees them.

use std::fmt;

use laburnumstall_config::admin::{EndpointStatus, MemberStatus, STATUS_PATH, Status};
use laburnumstall_core::ids::Revision;
use serde::Serialize;

use crate::admin_client::AdminCall;
use crate::cli::StatusOptions;
use crate::context::Context;
use crate::error::CommandError;
use crate::grid::Grid;

/// The status as it is shown.
#[derive(Serialize)]
#[serde(transparent)]
struct StatusResult(Status);

impl fmt::Display for StatusResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let status = &self.0;
        writeln!(
            f,
            "{} in {}: revision {}, key-value service {}",
            status.daemon,
            status.zone,
            revision_text(status.revision),
            status.store
        )?;
        writeln!(
            f,
            "requests: {} owned, {} copies\n",
            status.requests.owned, status.requests.copies
        )?;
        if let Some(placement) = &status.placement {
            writeln!(
                f,
                "placement: holds the lease; {} VMs there, {} to be had, {}\n",
                placement.filled, placement.open, placement.hourly
            )?;
        }
        writeln!(f, "{}\n", member_grid(&status.members))?;
        write!(f, "{}", endpoint_grid(&status.endpoints))
    }
}

fn member_grid(members: &[MemberStatus]) -> Grid {
    let mut grid = Grid::new(&["ENTRY", "ZONE", "STATE", "REVISION"]);
    for member in members {
        grid.row(vec![
            member.id.to_string(),
            member.zone.to_string(),
            member.state.to_string(),
            revision_text(member.revision),
        ]);
    }
    grid
}

fn endpoint_grid(endpoints: &[EndpointStatus]) -> Grid {
    let mut grid = Grid::new(&["ENDPOINT", "ZONE", "STATE", "RUNNING", "WAITING"]);
    for endpoint in endpoints {
        grid.row(vec![
            endpoint.id.to_string(),
            endpoint.zone.to_string(),
            endpoint.state.to_string(),
            endpoint.running.to_string(),
            endpoint.waiting.to_string(),
        ]);
    }
    grid
}

fn revision_text(revision: Option<Revision>) -> String {
    revision.map_or_else(|| "unknown".to_owned(), |revision| revision.to_string())
}

/// Runs the command.
///
/// # Errors
///
/// Returns [`CommandError`] if no daemon answers.
pub async fn run(cx: &Context<'_>, _options: StatusOptions) -> Result<(), CommandError> {
    let call = AdminCall::get("read the status", STATUS_PATH);
    let answer = cx.admin()?.send(&call).await?;
    cx.present(&StatusResult(answer.read_success()?))
}
