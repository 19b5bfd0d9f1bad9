//! Settings of the daemon: flags, each with an environment variable.
//!
//! [`Settings::from_args`] parses and validates the command line and the environment, and
//! returns either the settings or all faults at once. A flag overrides its variable, whose
//! name is the flag's in upper case with the prefix `LABURNUMSTALLD_`.

mod environment;
mod fault;
mod flags;
mod reader;
mod value;

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use gumdrop::{Options, ParsingStyle};
use laburnumstall_core::ids::{AvailabilityZone, Region, VmId};
use laburnumstall_core::units::Bytes;
use laburnumstall_peer::frame::MAX_FRAME_BYTES;
use spdlog::Level;

use flags::Flags;
use reader::Reader;
use value::{Address, Advertised, LogLevel};

pub use environment::{Environment, ProcessEnvironment, VARIABLE_PREFIX, variable_of};
pub use fault::{SettingFault, SettingsError};
pub use value::KeyDigest;

/// Upper limit of the body size setting: half a peer frame, so that the body's copy and its
/// metadata fit in one frame.
pub const MAX_BODY_BYTES: u64 = MAX_FRAME_BYTES as u64 / 2;

/// Action requested by the command line.
#[derive(Debug, Clone, PartialEq)]
pub enum Invocation {
    /// Run the daemon with these settings.
    Run(Box<Settings>),
    /// Print this text and exit with 0.
    Print(String),
}

/// Settings of one daemon.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// VM that the daemon runs on.
    pub vm: VmId,
    /// Availability zone of the VM.
    pub zone: AvailabilityZone,
    /// Region of the VM.
    pub region: Region,
    /// TCP address for callers; port 0 lets the system choose.
    pub listen: SocketAddr,
    /// Address advertised to callers; `None` means the listen address.
    pub advertise: Option<SocketAddr>,
    /// UDP address for the other daemons; port 0 lets the system choose.
    pub peer_listen: SocketAddr,
    /// Address advertised to the other daemons; `None` means the listen address.
    pub peer_advertise: Option<SocketAddr>,
    /// TCP address for operators and metrics.
    pub admin_listen: SocketAddr,
    /// Address of the key-value service.
    pub store: SocketAddr,
    /// Address of the cloud API; without it no VM is provisioned.
    pub cloud: Option<SocketAddr>,
    /// Address of the VM list.
    pub vm_list: Option<SocketAddr>,
    /// Digests of the operators' keys.
    pub operator_keys: Vec<KeyDigest>,
    /// Number of traffic threads.
    pub workers: usize,
    /// Least severe level that is logged.
    pub log_level: Level,
    /// Largest request body.
    pub max_body: Bytes,
    /// Time for which callers may cache the directory.
    pub directory_max_age: Duration,
    /// Notice period assumed for a SIGTERM without a reclaim notice.
    pub notice: Duration,
    /// Rate limit for the key-value service, in calls a second.
    pub store_calls_per_second: u32,
}

impl Settings {
    /// Parses the command line, without the program's name, and the environment.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] with every fault found.
    pub fn from_args<S: AsRef<str>>(
        args: &[S],
        env: &impl Environment,
    ) -> Result<Invocation, SettingsError> {
        let flags = Flags::parse_args(args, ParsingStyle::AllOptions).map_err(|error| {
            let (source, text) = (String::new(), error.to_string());
            let faults = vec![SettingFault { source, text }];
            SettingsError { faults }
        })?;
        if flags.help {
            return Ok(Invocation::Print(help()));
        }
        if flags.version {
            let version = env!("CARGO_PKG_VERSION");
            return Ok(Invocation::Print(format!("laburnumstalld {version}")));
        }
        let settings = read(flags, env).map_err(|faults| SettingsError { faults })?;
        Ok(Invocation::Run(Box::new(settings)))
    }
}

/// Returns the `--help` text.
pub fn help() -> String {
    format!(
        "Usage: laburnumstalld [OPTIONS]\n\n\
         {usage}\n\n\
         Each option but --help and --version can be set by an environment variable, such as\n\
         {example} for --peer-listen; the option goes before the variable.\n\n\
         Exit codes:\n  \
         0  stopped as planned\n  \
         1  failed while running\n  \
         2  wrong settings\n",
        usage = Flags::usage(),
        example = variable_of("peer-listen"),
    )
}

/// Names of all flags that have a variable.
const FLAGS: [&str; 18] = [
    "vm",
    "zone",
    "region",
    "listen",
    "advertise",
    "peer-listen",
    "peer-advertise",
    "admin-listen",
    "store",
    "cloud",
    "vm-list",
    "operator-key-digest",
    "workers",
    "log-level",
    "max-body",
    "directory-max-age",
    "notice",
    "store-calls-per-second",
];

fn read(flags: Flags, env: &impl Environment) -> Result<Settings, Vec<SettingFault>> {
    let mut reader = Reader::new(env);
    check_variable_names(&mut reader, env);
    let settings = read_values(flags, &mut reader);
    let faults = reader.into_faults();
    match settings {
        Some(settings) if faults.is_empty() => Ok(settings),
        _ => Err(faults),
    }
}

/// Reports variables that match no flag.
fn check_variable_names<E: Environment>(reader: &mut Reader<'_, E>, env: &E) {
    let known: Vec<_> = FLAGS.iter().map(|flag| variable_of(flag)).collect();
    for name in env.names() {
        if !known.contains(&name) {
            let nearest = known
                .iter()
                .min_by_key(|known| strsim::levenshtein(known, &name));
            let nearest = nearest.map_or("", String::as_str);
            let text = format!("there is no such setting; the nearest is {nearest}");
            reader.add_fault(name, text);
        }
    }
}

fn read_values<E: Environment>(flags: Flags, reader: &mut Reader<'_, E>) -> Option<Settings> {
    let vm = reader.required("vm", flags.vm);
    let zone = reader.required("zone", flags.zone);
    let region = reader.required("region", flags.region);
    let listen = read_listener(reader, &LISTEN, flags.listen, flags.advertise);
    let peer = read_listener(
        reader,
        &PEER_LISTEN,
        flags.peer_listen,
        flags.peer_advertise,
    );
    let admin_listen = read_admin(reader, flags.admin_listen, listen);
    let store = reader.required::<Address>("store", flags.store);
    let cloud = reader.optional::<Address>("cloud", flags.cloud);
    let vm_list = reader.optional::<Address>("vm-list", flags.vm_list);
    let operator_keys = reader.list("operator-key-digest", flags.operator_key_digest);
    let workers = reader.number("workers", flags.workers, 1..=256, 2);
    let log_level = reader.optional("log-level", flags.log_level);
    let max_body = reader.number("max-body", flags.max_body, 1024..=MAX_BODY_BYTES, 1 << 20);
    let directory_max_age = reader.number("directory-max-age", flags.directory_max_age, 1..=300, 5);
    let notice = reader.number("notice", flags.notice, 1..=3600, 30);
    let store_calls_per_second = reader.number(
        "store-calls-per-second",
        flags.store_calls_per_second,
        1..=2000,
        50,
    );
    Some(Settings {
        vm: vm?,
        zone: zone?,
        region: region?,
        listen: listen?.listen,
        advertise: listen?.advertise,
        peer_listen: peer?.listen,
        peer_advertise: peer?.advertise,
        admin_listen: admin_listen?,
        store: store?.0,
        cloud: cloud.map(|address| address.0),
        vm_list: vm_list.map(|address| address.0),
        operator_keys,
        workers: workers as usize,
        log_level: log_level.map_or(Level::Info, |LogLevel(level)| level),
        max_body: Bytes(max_body),
        directory_max_age: Duration::from_secs(directory_max_age),
        notice: Duration::from_secs(notice),
        store_calls_per_second: store_calls_per_second as u32,
    })
}

/// Flag names of a listen address and its advertised address, and the default.
struct ListenerSpec {
    listen: &'static str,
    advertise: &'static str,
    default: SocketAddr,
}

const LISTEN: ListenerSpec = ListenerSpec {
    listen: "listen",
    advertise: "advertise",
    default: SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 8080),
};

const PEER_LISTEN: ListenerSpec = ListenerSpec {
    listen: "peer-listen",
    advertise: "peer-advertise",
    default: SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 8081),
};

const DEFAULT_ADMIN_LISTEN: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 8082);

/// A listen address, and the advertised address if it differs.
#[derive(Debug, Clone, Copy)]
struct Listener {
    listen: SocketAddr,
    advertise: Option<SocketAddr>,
}

/// Reads a listen address together with its advertised address.
fn read_listener<E: Environment>(
    reader: &mut Reader<'_, E>,
    spec: &ListenerSpec,
    listen: Option<String>,
    advertise: Option<String>,
) -> Option<Listener> {
    let listen = reader.optional::<Address>(spec.listen, listen);
    let advertise = reader.optional::<Advertised>(spec.advertise, advertise);
    if reader.has_fault(spec.listen) || reader.has_fault(spec.advertise) {
        return None;
    }
    let listen = listen.map_or(spec.default, |address| address.0);
    if listen.ip().is_unspecified() && advertise.is_none() {
        let text = format!(
            "missing; --{} is {listen}, which others cannot connect to",
            spec.listen
        );
        reader.add_fault(format!("--{}", spec.advertise), text);
    }
    Some(Listener {
        listen,
        advertise: advertise.map(|address| address.0),
    })
}

/// Reads the admin address, which must differ from the callers'.
fn read_admin<E: Environment>(
    reader: &mut Reader<'_, E>,
    admin_listen: Option<String>,
    callers: Option<Listener>,
) -> Option<SocketAddr> {
    let admin = reader.optional::<Address>("admin-listen", admin_listen);
    let admin = admin.map_or(DEFAULT_ADMIN_LISTEN, |address| address.0);
    let callers = callers?.listen;
    if overlap(callers, admin) {
        let text = format!("{admin} is the same address as --listen {callers}");
        reader.add_fault("--admin-listen", text);
    }
    Some(admin)
}

/// Returns whether two sockets of one protocol cannot both be bound.
fn overlap(a: SocketAddr, b: SocketAddr) -> bool {
    let same_ip = a.ip() == b.ip() || a.ip().is_unspecified() || b.ip().is_unspecified();
    same_ip && a.port() == b.port() && a.port() != 0
}
