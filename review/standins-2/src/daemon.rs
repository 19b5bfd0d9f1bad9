//! Processes of the system, started with the command of the deploy file.

use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::http::Conn;

/// Processes that were started and have not been waited for, by their id.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all processes that are still running.
pub fn kill_all() {
    for pid in STARTED.lock().expect("the processes").drain(..) {
        signal(pid, "KILL");
    }
}

fn signal(pid: u32, name: &str) {
    let _ = Command::new("kill")
        .args([&format!("-{name}"), &pid.to_string()])
        .status();
}

/// Machine of the small deployment, with one process.
pub struct Daemon {
    pub name: String,
    pub front: SocketAddr,
    pub readiness: SocketAddr,
    pub registry: SocketAddr,
    settings: PathBuf,
    folder: PathBuf,
    /// Most descriptors of sockets and pipes, if that is limited.
    pub max_sockets: Option<u32>,
    child: Option<Child>,
    starts: u32,
}

/// What the settings of all machines share.
pub struct Site {
    pub store: SocketAddr,
    pub provider: SocketAddr,
    pub folder: PathBuf,
    /// First three numbers of the machines' addresses.
    pub net: String,
    pub sheet: Sheet,
}

/// Sheet that the limits and times of a machine are taken from.
#[derive(Clone, Copy)]
pub enum Sheet {
    CaroniArchive,
    /// The smaller class of machines.
    TiitelmajaRouteGrown,
}

impl Sheet {
    /// Descriptors of a process.
    pub fn max_fds(self) -> u32 {
        match self {
            Self::CaroniArchive => 8_200,
            Self::TiitelmajaRouteGrown => 3_075,
        }
    }

    fn limits(self) -> String {
        let (quota, memory, link) = match self {
            Self::CaroniArchive => (0.5, 520, 2_000.0),
            Self::TiitelmajaRouteGrown => (0.09, 120, 10.0),
        };
        format!(
            "limits:\n  cpu_quota: {quota}\n  cpus: 1\n  memory_mb: {memory}\n  max_fds: {}\n  \
             bandwidth_mbps: {link}\n  disk_mb: 0\n",
            self.max_fds()
        )
    }

    /// Times that differ between the sheets.
    fn times(self) -> &'static str {
        match self {
            Self::CaroniArchive => {
                "  contact_ms: 3000\n  ack_ms: 4000\n  catch_up_s: 4\n  drain_ms: 2000\n  \
                 apply_ms: 2000\n  max_skew_ms: 5000\n  budget_slack: 58\n  recover_s: 12\n  \
                 delivery_slack_ms: 120\n"
            }
            Self::TiitelmajaRouteGrown => {
                "  contact_ms: 4000\n  ack_ms: 6000\n  catch_up_s: 6\n  drain_ms: 3000\n  \
                 apply_ms: 3000\n  max_skew_ms: 6000\n  budget_slack: 212\n  recover_s: 15\n  \
                 delivery_slack_ms: 200\n  canary_share: 0.1\n  canary_tolerance: 50\n  \
                 rollback_ms: 5000\n"
            }
        }
    }
}

/// Keeps the net of this process from others.
static NET_GUARD: Mutex<Option<TcpListener>> = Mutex::new(None);

/// Returns a loopback net whose addresses have the metrics port free; cases that run beside each other
/// get different ones.
pub fn free_net() -> String {
    for number in 1..250 {
        let net = format!("127.93.{number}");
        let is_free = |host: u8| TcpListener::bind((format!("{net}.{host}").as_str(), 9464)).ok();
        let Some(guard) = is_free(200) else {
            continue;
        };
        if (1..=8).all(|host| is_free(host).is_some()) {
            *NET_GUARD.lock().expect("the guard") = Some(guard);
            return net;
        }
    }
    panic!("no free net");
}

fn free_port(ip: &str) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    listener.local_addr().expect("its address")
}

impl Daemon {
    pub fn new(site: &Site, number: usize, zone: &str) -> Self {
        let ip = format!("{}.{}", site.net, number + 1);
        let [front, readiness, registry, peers] = [(); 4].map(|()| free_port(&ip));
        let name = format!("edge-{zone}-{}", number + 1);
        let settings = format!(
            "node_name: \"{name}\"\nrole: \"entry\"\nnode_class: \"edge\"\nserves:\n  - \"edge\"\n  \
             - \"registry\"\nip: \"{ip}\"\nzone: \"{zone}\"\nregion: \"tt-north\"\nzones:\n  \
             tt-north-a: \"tt-north\"\n  tt-north-b: \"tt-north\"\n  tt-north-c: \"tt-north\"\n\
             listen:\n  http: \"{front}\"\n  readiness: \"{readiness}\"\n  registry: \"{registry}\"\n\
             port_range:\n  - {first}\n  - {last}\nbootstrap: true\n{limits}heartbeat_ms: 1200\n\
             timings:\n{times}  seed_lag_s: 3\n  reuse_after_s: 2\n  grace_s: 8\n  loss_slack_ms: 200\n  \
             rollback_slack_ms: 250\n  fail_closed: true\n  revoke_ms: 5000\n  retry_ratio: 0.2\n  \
             retry_window_s: 10\n  quota_window_s: 8\n  quota_overshoot: 0.1\n  \
             quota_tolerance: 140000\n  fencing_enforced: true\n  lease_ms: 3000\n  thaw_ms: 300\n  \
             usage_window_s: 5\n  usage_error: 0.05\n  usage_delay_s: 10\n  retry_after_s: 10\n  \
             ttl_max_s: 5\nplatform:\n  address: \"{store}\"\n  form: \"kv\"\n  writes_per_s: 400\n  \
             reads_per_s: 2000\n  history_s: 20\n  value_bytes: 1048576\n  ttl_min_ms: 1000\n\
             provider:\n  address: \"{provider}\"\n  rate_per_s: 50.0\n  duties:\n    - \"metering\"\n  \
             duty_per_s: 50.0\n",
            first = peers.port(),
            last = peers.port().saturating_add(15),
            limits = site.sheet.limits(),
            times = site.sheet.times(),
            store = site.store,
            provider = site.provider,
        );
        let path = site.folder.join(format!("{name}.yaml"));
        fs::write(&path, settings).expect("the settings file");
        Self {
            name,
            front,
            readiness,
            registry,
            settings: path,
            folder: site.folder.clone(),
            max_sockets: None,
            child: None,
            starts: 0,
        }
    }

    pub fn start(&mut self) {
        self.starts += 1;
        let log = self
            .folder
            .join(format!("{}-{}.log", self.name, self.starts));
        let log = fs::File::create(log).expect("the log file");
        let program = "target/release/laburnumstalld";
        let mut command = match self.max_sockets {
            // The machine limits the descriptors of the process.
            Some(count) => {
                let mut command = Command::new("sh");
                let line = format!("ulimit -n {count} && exec {program} gateway");
                command.args(["-c", &line]);
                command
            }
            None => {
                let mut command = Command::new(program);
                command.arg("gateway");
                command
            }
        };
        command.env("LABURNUMSTALL_BOOT", &self.settings);
        command
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("the log file"))
            .stdout(log);
        let child = command.spawn().expect("the program of the deploy file");
        STARTED.lock().expect("the processes").push(child.id());
        self.child = Some(child);
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            STARTED
                .lock()
                .expect("the processes")
                .retain(|pid| *pid != child.id());
        }
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        let ended = self.child.as_mut().map(|child| child.try_wait());
        matches!(ended, Some(Ok(Some(_))))
    }

    /// Returns the most memory that the process has taken, in millions of bytes.
    pub fn memory_mb(&self) -> f64 {
        let Some(child) = &self.child else {
            return 0.0;
        };
        let status = fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kib = line.and_then(|line| line.trim().strip_suffix(" kB"));
        kib.and_then(|kib| kib.trim().parse::<f64>().ok())
            .unwrap_or(0.0)
            * 1_024.0
            / 1e6
    }

    /// Returns the number of descriptors that the process has open.
    pub fn descriptors(&self) -> usize {
        let Some(child) = &self.child else {
            return 0;
        };
        fs::read_dir(format!("/proc/{}/fd", child.id())).map_or(0, Iterator::count)
    }

    /// Asks the readiness address on a new connection, as the platform does each second.
    pub fn is_ready(&self) -> bool {
        is_ready(self.readiness)
    }

    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

pub fn is_ready(address: SocketAddr) -> bool {
    let limit = Duration::from_secs(1);
    let Ok(mut conn) = Conn::connect(address, limit) else {
        return false;
    };
    conn.until = Some(Instant::now() + limit);
    let request = "GET /api/ready HTTP/1.1\r\nhost: ready\r\nconnection: close\r\n\r\n";
    conn.send(request.as_bytes()).is_ok()
        && matches!(conn.head(), Ok(Some(head)) if head.status() == 200)
}
