//! Small HTTP servers with scripted responses.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use oxhttp::Server;
use oxhttp::model::{Body, Response, StatusCode};
use serde_json::Value;
use standins::ports::free_address;

/// A call that the server received.
#[derive(Clone, Debug)]
pub struct ReceivedCall {
    pub path: String,
    pub body: Value,
}

/// A server that gives every call the same response and records the calls.
pub struct ScriptedServer {
    pub address: SocketAddr,
    calls: Arc<Mutex<Vec<ReceivedCall>>>,
}

impl ScriptedServer {
    pub fn spawn(status: u16, answer: impl Into<Vec<u8>>, delay: Duration) -> Self {
        let address = free_address();
        let calls = Arc::new(Mutex::new(Vec::new()));
        let (seen, answer) = (Arc::clone(&calls), answer.into());
        Server::new(move |request| {
            let path = request.uri().path().to_owned();
            let mut text = String::new();
            request
                .body_mut()
                .read_to_string(&mut text)
                .expect("a readable body");
            let body = serde_json::from_str(&text).unwrap_or_default();
            seen.lock()
                .expect("the list")
                .push(ReceivedCall { path, body });
            thread::sleep(delay);
            Response::builder()
                .status(StatusCode::from_u16(status).expect("a status"))
                .body(Body::from(answer.clone()))
                .expect("an answer")
        })
        .bind(address)
        .spawn()
        .expect("the server starts");
        Self { address, calls }
    }

    pub fn calls(&self) -> Vec<ReceivedCall> {
        self.calls.lock().expect("the list").clone()
    }
}

/// Accepts one connection, sends these bytes, and closes it after
/// `close_delay`.
pub fn serve_raw(bytes: impl Into<Vec<u8>>, close_delay: Duration) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let bytes = bytes.into();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut buffer = [0; 4096];
        let _ = stream.read(&mut buffer);
        let _ = stream.write_all(&bytes);
        thread::sleep(close_delay);
    });
    address
}
