//! What a world's operators do: they apply configurations and are told what became of them.

use laburnumstall_core::entry::{ApplyOutcome, ApplyRequest, Event};
use laburnumstall_core::ids::Revision;
use laburnumstall_core::message::ConfigurationRecord;

use crate::world::World;

/// An apply with its answer.
#[derive(Debug, Clone, PartialEq)]
pub struct SettledApply {
    /// Number that the operator gave it.
    pub token: u64,
    /// What became of it.
    pub outcome: ApplyOutcome,
}

impl World {
    /// Applies a text with a digest through an entry, on top of a revision.
    pub fn apply(&mut self, number: usize, base: u64, digest: &str) {
        let vm = self.nodes[number].vm.clone();
        self.note(&format!("operator applies {digest} on {base} vm={vm}"));
        let nonce = self.rng.u64(..);
        let apply = ApplyRequest {
            token: nonce,
            base: Revision(base),
            system: Box::new(self.system.clone()),
            digest: digest.into(),
            operator: digest.into(),
            reason: "".into(),
            nonce,
        };
        self.tell(number, Event::Apply(apply));
    }

    pub(crate) fn answer_operator(&mut self, number: usize, token: u64, outcome: ApplyOutcome) {
        let vm = self.nodes[number].vm.clone();
        let text = match &outcome {
            ApplyOutcome::Accepted {
                revision, missing, ..
            } => format!("accepted revision={revision} missing={}", missing.len()),
            ApplyOutcome::Conflict { current } => format!("conflict current={current}"),
            ApplyOutcome::Unavailable { .. } => "unavailable".to_owned(),
        };
        self.note(&format!("operator is told {text} vm={vm}"));
        self.applied.push(SettledApply { token, outcome });
    }

    /// Returns the configurations in force at the entries that run.
    pub fn in_force(&self) -> Vec<&ConfigurationRecord> {
        let entries = self.nodes.iter().filter_map(|node| node.entry.as_ref());
        let records = entries.filter_map(|entry| entry.configuration());
        records.map(|record| &**record).collect()
    }
}
