//! Which endpoints of a service count while a rollout changes their software version.

use crate::gateway::endpoint_table::EndpointRecord;
use crate::gateway::rollout::RolloutScope;
use crate::ids::SoftwareVersion;

/// Endpoints that count; by default all of them.
#[derive(Debug, Clone, Default)]
pub(super) struct VersionScope {
    version: Option<SoftwareVersion>,
    is_in_use: bool,
    is_open: bool,
}

impl VersionScope {
    pub(super) fn new(scope: Option<RolloutScope<'_>>) -> Self {
        scope.map_or_else(Self::default, |scope| Self {
            version: Some(scope.version.clone()),
            is_in_use: scope.is_in_use,
            is_open: scope.is_open,
        })
    }

    /// Returns whether an endpoint counts.
    pub(super) fn contains(&self, record: &EndpointRecord) -> bool {
        let is_of_version = record.version == self.version;
        self.version.is_none() || is_of_version == self.is_in_use
    }

    /// Returns whether no endpoint may be released.
    pub(super) fn keeps_all(&self) -> bool {
        self.is_open
    }
}
