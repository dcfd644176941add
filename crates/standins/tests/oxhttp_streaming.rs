//! Shows why the request path is not served by `oxhttp`: its server buffers
//! small chunks until 16 KiB have accumulated.

use std::io::Read;
use std::net::{Ipv4Addr, TcpListener};
use std::thread;
use std::time::{Duration, Instant};

use oxhttp::model::{Body, Request, Response};
use oxhttp::{Client, Server};

const CHUNKS: usize = 20;
const CHUNK_INTERVAL: Duration = Duration::from_millis(20);

/// A body that returns one short event every [`CHUNK_INTERVAL`].
struct SlowBody {
    remaining: usize,
}

impl Read for SlowBody {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        if self.remaining == 0 {
            return Ok(0);
        }
        self.remaining -= 1;
        thread::sleep(CHUNK_INTERVAL);
        let event = b"data: token\n\n";
        buffer[..event.len()].copy_from_slice(event);
        Ok(event.len())
    }
}

#[test]
fn small_chunks_are_buffered() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    drop(listener);
    let _server = Server::new(|_| Response::new(Body::from_read(SlowBody { remaining: CHUNKS })))
        .bind(address)
        .spawn()
        .expect("the server starts");

    let started = Instant::now();
    let request = Request::get(format!("http://{address}/"))
        .body(Body::empty())
        .expect("a valid request");
    let mut response = Client::new().request(request).expect("a response");
    let mut first = [0];
    response
        .body_mut()
        .read_exact(&mut first)
        .expect("a first byte");
    let first_byte = started.elapsed();

    println!("first byte after {first_byte:?}");
    assert!(
        first_byte >= CHUNK_INTERVAL * (CHUNKS as u32),
        "oxhttp now streams small chunks: the choice of the HTTP library can be reconsidered"
    );
}
