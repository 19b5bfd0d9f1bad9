//! Command-line flags of the daemon, not yet validated.

use gumdrop::Options;

/// Entry daemon of laburnumstall: takes callers' requests and routes them to endpoints.
#[derive(Debug, Default, Options)]
#[options(no_short)]
pub(super) struct Flags {
    #[options(help = "print this text and exit")]
    pub(super) help: bool,

    #[options(help = "print the version and exit")]
    pub(super) version: bool,

    #[options(help = "name of this VM in the cloud API (required)", meta = "NAME")]
    pub(super) vm: Option<String>,

    #[options(help = "availability zone of this VM (required)", meta = "NAME")]
    pub(super) zone: Option<String>,

    #[options(help = "region of this VM (required)", meta = "NAME")]
    pub(super) region: Option<String>,

    #[options(
        help = "TCP address for callers (default 0.0.0.0:8080)",
        meta = "IP:PORT"
    )]
    pub(super) listen: Option<String>,

    #[options(help = "address told to callers (default: --listen)", meta = "IP:PORT")]
    pub(super) advertise: Option<String>,

    #[options(
        help = "UDP address for the other daemons (default 0.0.0.0:8081)",
        meta = "IP:PORT"
    )]
    pub(super) peer_listen: Option<String>,

    #[options(
        help = "address told to the other daemons (default: --peer-listen)",
        meta = "IP:PORT"
    )]
    pub(super) peer_advertise: Option<String>,

    #[options(
        help = "TCP address for operators and metrics (default 127.0.0.1:8082)",
        meta = "IP:PORT"
    )]
    pub(super) admin_listen: Option<String>,

    #[options(help = "address of the key-value service (required)", meta = "IP:PORT")]
    pub(super) store: Option<String>,

    #[options(
        help = "address of the cloud API; without it no VM is bought",
        meta = "IP:PORT"
    )]
    pub(super) cloud: Option<String>,

    #[options(help = "address of the VM list", meta = "IP:PORT")]
    pub(super) vm_list: Option<String>,

    #[options(
        help = "BLAKE3 digest of an operator's key in 64 hexadecimal digits; repeatable, or a \
                list with commas; without one the admin address takes no orders",
        meta = "HEX"
    )]
    pub(super) operator_key_digest: Vec<String>,

    #[options(help = "threads for traffic, 1 to 256 (default 2)", meta = "N")]
    pub(super) workers: Option<String>,

    #[options(
        help = "least severe level logged: critical, error, warn, info, debug or trace \
                (default info)",
        meta = "LEVEL"
    )]
    pub(super) log_level: Option<String>,

    #[options(
        help = "largest request body in bytes, 1024 to 2097152 (default 1048576)",
        meta = "BYTES"
    )]
    pub(super) max_body: Option<String>,

    #[options(
        help = "time for which callers keep the list of entries, 1 to 300 (default 5)",
        meta = "SECONDS"
    )]
    pub(super) directory_max_age: Option<String>,

    #[options(
        help = "notice assumed when SIGTERM comes without one, 1 to 3600 (default 30)",
        meta = "SECONDS"
    )]
    pub(super) notice: Option<String>,

    #[options(
        help = "most calls a second to the key-value service, 1 to 2000 (default 50)",
        meta = "N"
    )]
    pub(super) store_calls_per_second: Option<String>,
}
