//! One entry VM with the core that runs on it.

use std::time::Duration;

use laburnumstall_core::entry::{Entry, EntrySettings};
use laburnumstall_core::ids::{AvailabilityZone, DaemonId, Incarnation, VmId};
use laburnumstall_core::membership::{CertificateFingerprint, Member};
use laburnumstall_core::units::Timestamp;

/// Time that callers keep the directory.
const DIRECTORY_MAX_AGE: Duration = Duration::from_secs(1);

/// One entry VM.
#[derive(Debug)]
pub(super) struct Node {
    pub(super) vm: VmId,
    pub(super) zone: AvailabilityZone,
    pub(super) id: DaemonId,
    /// The core, while the process runs.
    pub(super) entry: Option<Entry>,
    /// Whether the VM is gone.
    pub(super) is_gone: bool,
    /// When the platform takes the VM, once it has announced that.
    pub(super) leaves_at: Option<Timestamp>,
}

impl Node {
    pub(super) fn start(number: usize, zone: AvailabilityZone) -> Self {
        let vm: VmId = format!("entry-{number}")
            .parse()
            .expect("the name is valid");
        let id = DaemonId {
            vm: vm.clone(),
            incarnation: Incarnation(number as u64 + 1),
        };
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
            id,
            entry: Some(Entry::new(settings)),
            is_gone: false,
            leaves_at: None,
        }
    }

    /// Tells whether the directory lists the process.
    pub(super) fn is_listed(&self) -> bool {
        self.entry.as_ref().is_some_and(|entry| !entry.is_leaving())
    }
}
