//! Daemons in separate processes, with stand-ins for the platform's services.

use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use awc::Client;
use laburnumstall_config::admin::{ApplyRequest, CONFIGURATION_PATH, STATUS_PATH};
use laburnumstall_core::ids::Revision;
use laburnumstall_core::resources::{Market, Vm, VmRole, VmState};
use laburnumstall_standins::cloud::CloudStandIn;
use laburnumstall_standins::key_value::KeyValueStandIn;
use serde_json::{Value, json};

/// Name of the model service on the endpoints.
pub(crate) const SERVICE: &str = "assistant";

/// Bearer key of the customer.
pub(crate) const CUSTOMER_KEY: &str = "customer-key";

/// Timeout for all waits.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(30);

/// Bearer key of the operator.
pub(crate) const OPERATOR_KEY: &str = "operator-key";
const REGION: &str = "loopback";
/// Time between two polls of a condition.
pub(crate) const POLL_PERIOD: Duration = Duration::from_millis(50);

/// A daemon's process.
pub(crate) struct Process {
    /// Address for callers.
    pub(crate) callers: SocketAddr,
    /// Address for operators.
    pub(crate) operators: SocketAddr,
    /// Handle of the process.
    pub(crate) child: Child,
}

/// Two daemons in two zones, with the platform's stand-ins.
pub(crate) struct Fleet {
    /// Processes of the daemons.
    pub(crate) processes: Vec<Process>,
    store: KeyValueStandIn,
    cloud: CloudStandIn<()>,
}

impl Fleet {
    /// Starts the stand-ins and two daemons, applies a configuration, and waits until both
    /// know each other and the endpoints.
    pub(crate) async fn start(endpoints: &[SocketAddr]) -> Self {
        let store = KeyValueStandIn::start().expect("the store starts");
        let cloud = CloudStandIn::start(()).expect("the cloud starts");
        for (number, address) in endpoints.iter().enumerate() {
            cloud.add(vm(&format!("engine-{number}"), VmRole::Endpoint, *address));
        }
        let mut fleet = Self {
            processes: Vec::new(),
            store,
            cloud,
        };
        for (name, zone) in [("entry-0", "zone-a"), ("entry-1", "zone-b")] {
            fleet.spawn(name, zone);
        }
        fleet.apply().await;
        fleet.wait_ready(endpoints.len()).await;
        fleet
    }

    fn spawn(&mut self, name: &str, zone: &str) {
        let (callers, operators) = (free_address(), free_address());
        let cloud = self.cloud.address().to_string();
        let flags = [
            ("--vm", name.to_owned()),
            ("--zone", zone.to_owned()),
            ("--region", REGION.to_owned()),
            ("--listen", callers.to_string()),
            ("--peer-listen", "127.0.0.1:0".to_owned()),
            ("--admin-listen", operators.to_string()),
            ("--store", self.store.address().to_string()),
            ("--cloud", cloud.clone()),
            ("--vm-list", cloud),
            ("--operator-key-digest", digest_of(OPERATOR_KEY)),
            ("--store-calls-per-second", "100".to_owned()),
        ];
        let child = Command::new(env!("CARGO_BIN_EXE_laburnumstalld"))
            .args(flags.iter().flat_map(|(flag, value)| [*flag, value]))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .spawn();
        let child = child.expect("the daemon starts");
        self.cloud.add(vm(name, VmRole::Entry, callers));
        self.processes.push(Process {
            callers,
            operators,
            child,
        });
    }

    async fn apply(&self) {
        let request = ApplyRequest {
            base: Revision(0),
            text: configuration_text(),
            reason: "test".into(),
            operator: "test".parse().unwrap(),
            nonce: "0123456789abcdef0123456789abcdef".parse().unwrap(),
        };
        let started = Instant::now();
        let url = format!("http://{}{CONFIGURATION_PATH}", self.processes[0].operators);
        loop {
            let call = Client::default().post(&url).bearer_auth(OPERATOR_KEY);
            let failure = match call.send_json(&request).await {
                Ok(answer) if answer.status().is_success() => return,
                Ok(mut answer) => format!("{:?}", answer.body().await),
                Err(error) => error.to_string(),
            };
            assert!(started.elapsed() < TIMEOUT, "not accepted: {failure}");
            tokio::time::sleep(POLL_PERIOD).await;
        }
    }

    async fn wait_ready(&self, endpoints: usize) {
        let started = Instant::now();
        for process in &self.processes {
            while !process.is_ready(self.processes.len(), endpoints).await {
                assert!(started.elapsed() < TIMEOUT, "the daemons are not ready");
                tokio::time::sleep(POLL_PERIOD).await;
            }
        }
    }

    /// Kills the remaining daemons and stops the stand-ins.
    pub(crate) fn close(self) {
        drop(self.processes);
        self.cloud.close();
        self.store.close();
    }
}

impl Process {
    /// Kills the process and waits for its exit.
    pub(crate) fn kill(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    async fn is_ready(&self, members: usize, endpoints: usize) -> bool {
        let url = format!("http://{}{STATUS_PATH}", self.operators);
        let call = Client::default().get(url).bearer_auth(OPERATOR_KEY);
        let Ok(mut answer) = call.send().await else {
            return false;
        };
        let status: Value = answer.json().await.unwrap_or_default();
        let count = |name: &str| status[name].as_array().map_or(0, Vec::len);
        status["revision"].as_u64() == Some(1)
            && count("members") == members
            && count("endpoints") == endpoints
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns the body of a chat completion request.
pub(crate) fn chat(prompt: &str, tokens: u64, is_stream: bool) -> Value {
    json!({
        "model": SERVICE,
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": tokens,
        "stream": is_stream,
    })
}

fn digest_of(key: &str) -> String {
    blake3::hash(key.as_bytes()).to_hex().to_string()
}

/// Returns a loopback address with a currently free port.
fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
    listener.local_addr().expect("it has an address")
}

fn vm(name: &str, role: VmRole, address: SocketAddr) -> Vm {
    Vm {
        id: name.parse().unwrap(),
        zone: "zone-a".parse().unwrap(),
        class: "accel-24".parse().unwrap(),
        market: Market::OnDemand,
        role,
        address,
        state: VmState::Live,
    }
}

fn configuration_text() -> String {
    let digest = digest_of(CUSTOMER_KEY);
    let mut text = String::new();
    for zone in ["zone-a", "zone-b"] {
        text.push_str(&format!(
            "[[zone]]\nname = \"{zone}\"\nregion = \"{REGION}\"\nprice_permille = 1000\n\
             reclaim_permille_day = 100\n\n"
        ));
    }
    text.push_str(&format!(
        r#"[[link]]
from = "zone-a"
to = "zone-b"
latency = "0.5ms"

[[class]]
name = "accel-24"
on_demand = "1100000u/h"
reclaimable = "390000u/h"
accelerators = 1
decode = "1600tok/s"
prefill = "16000tok/s"
cache = "600000tok"

[[service]]
name = "{SERVICE}"
kind = "model"
deadline = "60s"

[service.model]
model = "archive-8b"
version = "2026-11"
classes = ["accel-24"]

[[customer]]
name = "chambers"
key_digests = ["{digest}"]

[customer.contract]
requests = "20000req/s"
tokens = "20000000tok/s"
weight = 1
priority = 1
first_token = "1s"
between_tokens = "51ms"
"#
    ));
    text
}
