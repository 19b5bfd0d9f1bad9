//! One entry VM of a world with the core that runs on it.

use laburnumstall_core::entry::{Entry, EntrySettings};
use laburnumstall_core::ids::{AvailabilityZone, DaemonId, VmId};
use laburnumstall_core::membership::{CertificateFingerprint, Member};
use laburnumstall_core::units::Timestamp;

use crate::world::DIRECTORY_MAX_AGE;

/// One entry VM.
#[derive(Debug)]
pub struct Node {
    /// VM.
    pub vm: VmId,
    /// Zone.
    pub zone: AvailabilityZone,
    /// The core, while the process runs.
    pub entry: Option<Entry>,
    /// Identity of the process that runs or ran last.
    pub id: DaemonId,
    /// Whether the VM itself is gone, so that nothing refuses connections.
    pub is_vm_gone: bool,
    /// Until when the process is paused.
    pub paused_until: Timestamp,
    /// When the platform takes the VM, once it has announced that.
    pub reclaim_at: Option<Timestamp>,
    /// Whether the process exited by itself.
    pub has_exited: bool,
}

impl Node {
    /// Starts a process on a VM.
    pub fn start(vm: VmId, zone: AvailabilityZone, id: DaemonId) -> Self {
        let member = Member {
            id: id.clone(),
            zone: zone.clone(),
            peer_address: ([192, 0, 2, 2], 1).into(),
            caller_address: ([192, 0, 2, 3], 1).into(),
            certificate: CertificateFingerprint([0; 32]),
            leaving: false,
        };
        let settings = EntrySettings {
            member,
            directory_max_age: DIRECTORY_MAX_AGE,
        };
        Self {
            vm,
            zone,
            entry: Some(Entry::new(settings)),
            id,
            is_vm_gone: false,
            paused_until: Timestamp::ZERO,
            reclaim_at: None,
            has_exited: false,
        }
    }

    /// Tells whether the process runs.
    pub fn is_running(&self) -> bool {
        self.entry.is_some()
    }

    /// Tells whether the process takes new requests, as the directory says.
    pub fn is_listed(&self) -> bool {
        self.entry.as_ref().is_some_and(|entry| !entry.is_leaving())
    }
}
