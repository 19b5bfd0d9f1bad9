//! A relay without control logic, in a separate process, on the daemon's HTTP libraries.

use std::io::Read;
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};

use actix_web::{App, HttpResponse, HttpServer, web};
use awc::{Client, Connector};

/// Variable that makes this program run as the relay; its value is the listen address and the
/// endpoint's address.
const RELAY_VARIABLE: &str = "BARE_RELAY";

/// Handle of the relay's process.
pub(crate) struct BareRelay {
    pub(crate) address: SocketAddr,
    child: Child,
}

impl BareRelay {
    pub(crate) fn start(endpoint: SocketAddr) -> Self {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("it has an address");
        drop(listener);
        let program = std::env::current_exe().expect("this program has a path");
        let child = Command::new(program)
            .env(RELAY_VARIABLE, format!("{address} {endpoint}"))
            .stdin(Stdio::piped())
            .stdout(Stdio::null())
            .spawn();
        let child = child.expect("the relay starts");
        let relay = Self { address, child };
        crate::caller::wait_for_answer(address);
        relay
    }

    pub(crate) fn id(&self) -> u32 {
        self.child.id()
    }

    pub(crate) fn close(self) {
        drop(self);
    }
}

impl Drop for BareRelay {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns whether this process is to run as the relay.
pub(crate) fn is_requested() -> bool {
    std::env::var_os(RELAY_VARIABLE).is_some()
}

/// Relays until the process is killed, or the bench ends in any way, which closes the pipe.
pub(crate) fn run() {
    std::thread::spawn(|| {
        // An error ends the wait as the end of the pipe does.
        let _ = std::io::stdin().read(&mut [0]);
        std::process::exit(0);
    });
    let addresses = std::env::var(RELAY_VARIABLE).unwrap_or_default();
    let (own, endpoint) = addresses.split_once(' ').expect("two addresses are given");
    let endpoint: SocketAddr = endpoint.parse().expect("an address");
    let own: SocketAddr = own.parse().expect("an address");
    let server = HttpServer::new(move || {
        // No limit: the library's default of 100 connections would make streams wait.
        let connector = Connector::new().limit(0);
        let client = Client::builder().connector(connector).disable_timeout();
        let data = web::Data::new((client.finish(), endpoint));
        App::new().app_data(data).default_service(web::to(relay))
    });
    let server = server.workers(2).bind(own).expect("the port is free").run();
    actix_rt::System::new()
        .block_on(server)
        .expect("the relay serves");
}

async fn relay(data: web::Data<(Client, SocketAddr)>, body: web::Bytes) -> HttpResponse {
    let (client, endpoint) = data.get_ref();
    let url = format!("http://{endpoint}/v1/chat/completions");
    match client.post(url).send_body(body).await {
        Ok(answer) => HttpResponse::Ok()
            .content_type("text/event-stream")
            .streaming(answer),
        Err(error) => HttpResponse::BadGateway().body(error.to_string()),
    }
}
