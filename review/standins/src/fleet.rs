//! Daemons as separate processes, with the command of the deploy file.

use std::fs::{self, File};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http::Conn;

const FRONT: u16 = 8360;
const DIRECTORY: u16 = 8364;
const READINESS: u16 = 8365;
const PEERS: u16 = 7500;
const METRICS: u16 = 9464;

pub struct Daemon {
    pub name: String,
    pub ip: String,
    pub zone: String,
    pub store: SocketAddr,
    pub duties: SocketAddr,
    folder: PathBuf,
    child: Option<Child>,
    starts: u32,
}

/// Returns the first three numbers of loopback addresses at which all ports are free.
pub fn free_subnet() -> io::Result<String> {
    let seed = std::process::id();
    for step in 0..200 {
        let (a, b) = (100 + (seed + step) % 120, (seed / 120 + step) % 250);
        let subnet = format!("127.{a}.{b}");
        let is_free = |ip: &str| {
            let tcp = [FRONT, DIRECTORY, READINESS, METRICS];
            tcp.iter()
                .all(|port| TcpListener::bind((ip, *port)).is_ok())
                && UdpSocket::bind((ip, PEERS)).is_ok()
        };
        if (1..=8).all(|host| is_free(&format!("{subnet}.{host}"))) {
            return Ok(subnet);
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

impl Daemon {
    pub fn new(
        index: usize,
        subnet: &str,
        zone: &str,
        store: SocketAddr,
        duties: SocketAddr,
        folder: &Path,
    ) -> Self {
        Self {
            name: format!("edge-{zone}-{index}"),
            ip: format!("{subnet}.{index}"),
            zone: zone.to_owned(),
            store,
            duties,
            folder: folder.to_owned(),
            child: None,
            starts: 0,
        }
    }

    fn settings(&self) -> String {
        let Self {
            name,
            ip,
            zone,
            store,
            duties,
            ..
        } = self;
        format!(
            "node_name: \"{name}\"\nrole: \"entry\"\nnode_class: \"edge\"\nserves:\n  - \"edge\"\n  - \"registry\"\n\
             ip: \"{ip}\"\nzone: \"{zone}\"\nregion: \"region\"\nzones:\n  zone-a: \"region\"\n  zone-b: \"region\"\n  zone-c: \"region\"\n\
             listen:\n  http: \"{ip}:{FRONT}\"\n  readiness: \"{ip}:{READINESS}\"\n  registry: \"{ip}:{DIRECTORY}\"\n\
             port_range:\n  - {PEERS}\n  - {}\nseed_nodes: []\nbootstrap: true\nin_tolerance: false\n\
             limits:\n  cpu_quota: 0.5\n  cpus: 1\n  memory_mb: 520\n  max_fds: 8200\n  bandwidth_mbps: 2000.0\n  disk_mb: 0\n\
             data_dir: null\ndiscovery: \"platform\"\ningress: \"registry\"\nheartbeat_ms: 1200\n\
             timings:\n  seed_lag_s: 3\n  reuse_after_s: 2\n  contact_ms: 3000\n  ack_ms: 4000\n  catch_up_s: 4\n  drain_ms: 2000\n  grace_s: 8\n\
             \x20 loss_slack_ms: 200\n  apply_ms: 2000\n  rollback_slack_ms: 250\n  max_skew_ms: 5000\n  fail_closed: true\n  revoke_ms: 5000\n\
             \x20 retry_ratio: 0.2\n  retry_window_s: 10\n  budget_slack: 58\n  quota_window_s: 8\n  quota_overshoot: 0.1\n  quota_tolerance: 140000\n\
             \x20 fencing_enforced: true\n  lease_ms: 3000\n  thaw_ms: 300\n  usage_window_s: 5\n  usage_error: 0.05\n  usage_delay_s: 10\n\
             \x20 recover_s: 12\n  delivery_slack_ms: 120\n  retry_after_s: 10\n  ttl_max_s: 5\n\
             platform:\n  address: \"{store}\"\n  form: \"kv\"\n  writes_per_s: 400\n  reads_per_s: 2000\n  history_s: 20\n  value_bytes: 1048576\n  ttl_min_ms: 1000\n\
             provider:\n  address: \"{duties}\"\n  rate_per_s: 50.0\n  duties:\n    - \"metering\"\n  duty_per_s: 50.0\n",
            PEERS + 15,
        )
    }

    pub fn start(&mut self) -> io::Result<()> {
        let path = self.folder.join(format!("{}.yaml", self.name));
        fs::write(&path, self.settings())?;
        self.starts += 1;
        let log = format!("{}.{}.log", self.name, self.starts);
        let log = File::create(self.folder.join(log))?;
        let errors = log.try_clone()?;
        let child = Command::new("target/release/laburnumstalld")
            .arg("gateway")
            .env_clear()
            .env("LABURNUMSTALL_BOOT", &path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()?;
        // For the script, which ends them if this process cannot.
        let mut pids = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join("pids"))?;
        writeln!(pids, "{}", child.id())?;
        self.child = Some(child);
        Ok(())
    }

    pub fn front(&self) -> SocketAddr {
        address(&self.ip, FRONT)
    }

    /// Returns the status of a readiness check that may take up to `limit`.
    pub fn ready(&self, limit: Duration) -> Option<u16> {
        let deadline = Some(Instant::now() + limit);
        let mut conn = Conn::connect(address(&self.ip, READINESS), limit).ok()?;
        conn.send(b"GET /api/ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
            .ok()?;
        Some(conn.head(deadline).ok()?.status())
    }

    /// Asks which addresses callers may use.
    pub fn resolve(&self, host: &str) -> Vec<SocketAddr> {
        let limit = Duration::from_secs(1);
        let ask = || {
            let deadline = Some(Instant::now() + limit);
            let mut conn = Conn::connect(address(&self.ip, DIRECTORY), limit).ok()?;
            let call = format!(
                "GET /api/resolve?name={host}&region=region&zone={} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
                self.zone
            );
            conn.send(call.as_bytes()).ok()?;
            let head = conn.head(deadline).ok()?;
            let body = conn.body(&head, deadline).ok()?;
            let body = crate::json::Json::parse(&body)?;
            let list = body.get("addresses")?.list();
            let addresses = list.iter().filter_map(|entry| entry.text()?.parse().ok());
            Some(addresses.collect())
        };
        ask().unwrap_or_default()
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

pub fn address(ip: &str, port: u16) -> SocketAddr {
    SocketAddr::new(ip.parse().unwrap_or([127, 0, 0, 1].into()), port)
}
