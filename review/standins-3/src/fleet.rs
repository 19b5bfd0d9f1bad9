//! Daemons as processes, started by the command of the deploy file, and what stands around them.

use std::fs::{self, File};
use std::io::{self, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Server};

/// Zones of the deployment.
pub const ZONES: [&str; 3] = ["tt-north-a", "tt-north-b", "tt-north-c"];
/// The operator's host name.
pub const HOST: &str = "ficu95.example";
/// Key of the only tenant's client.
pub const KEY: &str = "3d3zji9n73hh2b9wu3fe";

/// Where a machine is.
#[derive(Debug, Clone, Copy)]
pub struct Place {
    pub zone: &'static str,
    pub region: &'static str,
}

/// What happened, for `record.txt`.
pub struct Record {
    file: Mutex<File>,
    started_at: Instant,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Arc<Self>> {
        let file = Mutex::new(File::create(path)?);
        Ok(Arc::new(Self {
            file,
            started_at: Instant::now(),
        }))
    }

    pub fn note(&self, text: &str) {
        let at = self.started_at.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:9.3} {text}");
    }

    pub fn print(&self, text: &str) {
        println!("{text}");
        self.note(text);
    }
}

pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

/// Loopback addresses of a case. Those of cases that run at the same time differ.
pub struct Addresses {
    net: (u8, u8),
}

impl Addresses {
    pub fn new() -> Self {
        let pid = std::process::id();
        Self {
            net: (60 + (pid / 250 % 100) as u8, 1 + (pid % 250) as u8),
        }
    }

    pub fn at(&self, host: u8, port: u16) -> SocketAddr {
        let ip = Ipv4Addr::new(127, self.net.0, self.net.1, host);
        SocketAddrV4::new(ip, port).into()
    }
}

/// Processes that were started and have not ended.
static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills the processes that were started, when a case is given up.
pub fn end_processes() {
    for pid in PROCESSES.lock().unwrap().drain(..) {
        let _ = Command::new("kill").args(["-9", &pid.to_string()]).status();
    }
}

/// A daemon of the system.
pub struct Daemon {
    pub front: SocketAddr,
    pub readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    program: PathBuf,
    child: Option<Child>,
}

impl Daemon {
    /// Prepares the daemon on the machine with a number, with the settings of a small deployment.
    pub fn prepare(
        folder: &Path,
        addresses: &Addresses,
        number: u8,
        store: SocketAddr,
        provider: SocketAddr,
    ) -> io::Result<Self> {
        let zone = ZONES[usize::from(number) % ZONES.len()];
        let place = Place {
            zone,
            region: "tt-north",
        };
        Self::prepare_at(folder, addresses, number, place, store, provider)
    }

    /// Prepares the daemon on a machine in `place`.
    pub fn prepare_at(
        folder: &Path,
        addresses: &Addresses,
        number: u8,
        place: Place,
        store: SocketAddr,
        provider: SocketAddr,
    ) -> io::Result<Self> {
        let Place { zone, region } = place;
        let name = format!("edge-{zone}-{number}");
        let at = |port| addresses.at(10 + number, port);
        let (front, readiness, directory) = (at(8360), at(8365), at(8364));
        let text = format!(
            "node_name: \"{name}\"\nrole: \"entry\"\nnode_class: \"edge\"\n\
             serves:\n  - \"edge\"\n  - \"registry\"\nip: \"{}\"\nzone: \"{zone}\"\n\
             region: \"{region}\"\nlisten:\n  http: \"{front}\"\n  readiness: \"{readiness}\"\n  \
             registry: \"{directory}\"\nport_range:\n  - 7500\n  - 7515\nseed_nodes: []\n\
             bootstrap: true\nlimits:\n  cpu_quota: 0.5\n  cpus: 1\n  memory_mb: 520\n  \
             max_fds: 8200\n  bandwidth_mbps: 2000.0\n  disk_mb: 0\ndata_dir: null\n\
             discovery: \"platform\"\ningress: \"registry\"\nheartbeat_ms: 1200\ntimings:\n  \
             seed_lag_s: 3\n  reuse_after_s: 2\n  contact_ms: 3000\n  ack_ms: 4000\n  \
             catch_up_s: 4\n  drain_ms: 2000\n  grace_s: 8\n  loss_slack_ms: 200\n  \
             apply_ms: 2000\n  rollback_slack_ms: 250\n  max_skew_ms: 5000\n  \
             fail_closed: true\n  revoke_ms: 5000\n  retry_ratio: 0.2\n  retry_window_s: 10\n  \
             budget_slack: 58\n  quota_window_s: 8\n  quota_overshoot: 0.1\n  \
             quota_tolerance: 140000\n  fencing_enforced: true\n  lease_ms: 3000\n  \
             thaw_ms: 300\n  usage_window_s: 5\n  usage_error: 0.05\n  usage_delay_s: 10\n  \
             recover_s: 12\n  delivery_slack_ms: 120\n  retry_after_s: 10\n  ttl_max_s: 5\n\
             platform:\n  address: \"{store}\"\n  form: \"kv\"\n  writes_per_s: 400\n  \
             reads_per_s: 2000\n  history_s: 20\n  value_bytes: 1048576\n  ttl_min_ms: 1000\n\
             provider:\n  address: \"{provider}\"\n  rate_per_s: 50.0\n  duties:\n    \
             - \"metering\"\n  duty_per_s: 50.0\n",
            front.ip()
        );
        let settings = folder.join(format!("{name}.yaml"));
        fs::write(&settings, text)?;
        let log = folder.join(format!("{name}.log"));
        let program = PathBuf::from("target/release/laburnumstalld");
        Ok(Self {
            front,
            readiness,
            settings,
            log,
            program,
            child: None,
        })
    }

    pub fn start(&mut self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(&self.program)
            .arg("gateway")
            .env("LABURNUMSTALL_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        PROCESSES.lock().unwrap().push(child.id());
        self.child = Some(child);
        Ok(())
    }

    /// Kills the process by SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            PROCESSES.lock().unwrap().retain(|pid| *pid != child.id());
        }
    }

    pub fn is_ready(&self) -> bool {
        let message = "GET /api/ready HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
        let reply = http::call(self.readiness, message, Duration::from_millis(500));
        reply.is_ok_and(|reply| reply.status() == 200)
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Starts the platform's API, which accepts each usage report.
pub fn start_provider(address: SocketAddr, record: Arc<Record>) -> io::Result<Server> {
    Server::start(address, move |caller| {
        while let Some(mut message) = http::read_head(&mut caller.reader)? {
            http::read_body(&mut caller.reader, &mut message)?;
            let owner = message
                .header("x-duty-owner")
                .unwrap_or_default()
                .to_owned();
            let body = String::from_utf8_lossy(&message.body).into_owned();
            record.note(&format!("platform: {} by {owner}: {body}", message.line));
            caller.reply(200, "content-type: application/json\r\n", b"{}")?;
        }
        Ok(())
    })
}

/// Waits until all daemons are ready; returns whether they are in time.
pub fn wait_ready(daemons: &[Daemon], limit: Duration) -> bool {
    let deadline = Instant::now() + limit;
    while Instant::now() < deadline {
        if daemons.iter().all(Daemon::is_ready) {
            return true;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    false
}
