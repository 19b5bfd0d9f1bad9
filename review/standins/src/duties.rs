//! Stand-in for the platform's interface for duties.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;

use crate::http::Conn;
use crate::record::Record;

/// Starts the interface, which refuses fencing tokens below the highest one.
pub fn start(record: &Record) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let highest = Arc::new(Mutex::new(0));
    let record = record.clone();
    thread::spawn(move || {
        for io in listener.incoming().flatten() {
            let (highest, record) = (Arc::clone(&highest), record.clone());
            thread::spawn(move || {
                let mut conn = Conn::new(io);
                while let Ok(head) = conn.head(None) {
                    let Ok(body) = conn.body(&head, None) else {
                        return;
                    };
                    let holder = head.get("x-duty-owner").unwrap_or_default().to_owned();
                    let token = head.get("x-fencing-token");
                    let token: u64 = token.and_then(|token| token.parse().ok()).unwrap_or(0);
                    let status = match highest.lock() {
                        Ok(highest) if token < *highest => 409,
                        Ok(mut highest) => {
                            *highest = token;
                            200
                        }
                        Err(_) => 503,
                    };
                    let text = String::from_utf8_lossy(&body);
                    record.line(format!("usage {status} {holder} {token} {text}"));
                    if conn.reply(status, "", b"{}").is_err() {
                        return;
                    }
                }
            });
        }
    });
    Ok(address)
}
