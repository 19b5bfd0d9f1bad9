//! One daemon's process, reached by its id alone.

use std::fs::File;
use std::io;
use std::path::Path;
use std::process::{Child, Command, Stdio};

use rustix::process::{Pid, Signal, kill_process};

/// A process that the soak has started.
pub(crate) struct Process {
    child: Child,
}

impl Process {
    /// Starts the daemon with a settings file; its output is added to `log`.
    pub(crate) fn start(program: &Path, settings: &Path, log: &Path) -> io::Result<Self> {
        let log = File::options().create(true).append(true).open(log)?;
        let errors = log.try_clone()?;
        let child = Command::new(program)
            .arg("gateway")
            .env(
                laburnumstall_platform_standins::host::SETTINGS_VARIABLE,
                settings,
            )
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()?;
        Ok(Self { child })
    }

    /// Sends a signal; one to a process that has ended is lost.
    pub(crate) fn signal(&self, signal: Signal) {
        if let Ok(id) = i32::try_from(self.child.id())
            && let Some(id) = Pid::from_raw(id)
        {
            // The child is not waited for before `has_ended` says so, so the id is its own.
            let _ = kill_process(id, signal);
        }
    }

    /// Tells whether the process has ended.
    pub(crate) fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)) | Err(_))
    }

    /// Kills the process and waits for its end.
    pub(crate) fn close(mut self) {
        if !self.has_ended() {
            self.signal(Signal::KILL);
        }
        // It has ended or was killed: the wait is short and its outcome known.
        let _ = self.child.wait();
    }
}
