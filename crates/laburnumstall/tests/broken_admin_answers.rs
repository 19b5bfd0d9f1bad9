//! Answers to operators' commands that are none by RFC 9110 and RFC 9112.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;

use laburnumstall::{Exit, Shell, run};

const BROKEN: [&str; 6] = [
    "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nnull",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nnull\r\n",
    "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\nnull",
    "HTTP/1.1 200 OK\r\nX\u{1}Note: 1\r\nContent-Length: 4\r\n\r\nnull",
    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-No",
    "HTTP/1.1 000 Oh\r\nContent-Length: 4\r\n\r\nnull",
];

/// Starts a daemon that gives one answer to each call and closes the connection.
fn start(answer: &'static str) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            let mut buf = [0; 4_096];
            assert!(stream.read(&mut buf).unwrap() > 0);
            stream.write_all(answer.as_bytes()).unwrap();
        }
    });
    address
}

async fn drain(answer: &'static str) -> (Exit, String) {
    let address = start(answer).to_string();
    let words = [
        "--admin",
        &address,
        "--operator-key",
        "key",
        "drain",
        "entry-a",
    ];
    let shell = Shell::buffered();
    let words: Vec<String> = words.iter().map(|word| (*word).to_owned()).collect();
    let exit = run(&words, |_| None, &shell).await;
    (exit, shell.results() + &shell.messages())
}

/// A drain was reported as done, although its answer broke off.
#[actix_rt::test]
async fn broken_answer_confirms_nothing() {
    for broken in BROKEN {
        let (exit, said) = drain(broken).await;
        assert_ne!(exit, Exit::Success, "{broken:?}: {said}");
        assert!(said.contains("no daemon answered"), "{broken:?}: {said}");
    }
    let (exit, said) = drain("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnull").await;
    assert_eq!(exit, Exit::Success, "{said}");
}
