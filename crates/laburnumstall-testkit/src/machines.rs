//! What happens to a world's entry VMs: deaths, pauses, reclaims and planned stops.

use std::time::Duration;

use laburnumstall_core::cloud::ReclaimNotice;
use laburnumstall_core::entry::Event;

use crate::endpoint::Condition;
use crate::world::World;

impl World {
    /// Ends an entry's process at once.
    pub fn kill_entry(&mut self, number: usize) {
        let vm = self.nodes[number].vm.clone();
        self.note(&format!("entry dies vm={vm}"));
        self.end_process(number);
    }

    /// Ends an entry's process and at the same moment those of the endpoints that it reads;
    /// what the entry sent and nobody has got yet is lost with it.
    pub fn kill_with_endpoints(&mut self, number: usize) {
        let id = self.nodes[number].id.clone();
        for index in 0..self.endpoints.len() {
            if self.endpoints[index].is_read_by(&id) {
                self.crash_endpoint(index, Condition::Down);
            }
        }
        self.kill_entry(number);
        self.schedule.lose_messages(&id);
    }

    pub(crate) fn end_process(&mut self, number: usize) {
        let id = self.nodes[number].id.clone();
        self.nodes[number].entry = None;
        self.drop_readers(&id);
    }

    /// Takes an entry's VM away.
    pub fn take_entry_vm(&mut self, number: usize) {
        if !self.nodes[number].is_vm_gone {
            let vm = self.nodes[number].vm.clone();
            self.note(&format!("entry vm taken vm={vm}"));
            self.end_process(number);
            self.nodes[number].is_vm_gone = true;
        }
    }

    /// Pauses an entry's process.
    pub fn pause_entry(&mut self, number: usize, time: Duration) {
        let vm = self.nodes[number].vm.clone();
        self.note(&format!("entry pauses vm={vm} for={time:?}"));
        self.nodes[number].paused_until = self.now.after(time);
    }

    /// Announces that an entry's VM is taken after `notice`.
    pub fn reclaim_entry(&mut self, number: usize, notice: Duration) {
        let vm = self.nodes[number].vm.clone();
        let deadline = self.now.after(notice);
        self.note(&format!("reclaim announced vm={vm} notice={notice:?}"));
        self.nodes[number].reclaim_at = Some(deadline);
        for other in 0..self.nodes.len() {
            let vm = vm.clone();
            let notice = ReclaimNotice { vm, deadline };
            let to = self.nodes[other].id.clone();
            self.tell_daemon(&to, Event::Notice(notice));
        }
    }

    /// Asks an entry for a planned stop.
    pub fn stop_entry(&mut self, number: usize) {
        let vm = self.nodes[number].vm.clone();
        self.note(&format!("planned stop vm={vm}"));
        let to = self.nodes[number].id.clone();
        self.tell_daemon(&to, Event::Stop { deadline: None });
    }

    /// Takes the VMs whose notice is over.
    pub fn take_due_vms(&mut self) {
        let now = self.now;
        let due: Vec<usize> = (0..self.nodes.len())
            .filter(|number| self.nodes[*number].reclaim_at.is_some_and(|at| at <= now))
            .collect();
        for number in due {
            self.take_entry_vm(number);
        }
    }
}
