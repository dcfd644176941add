//! Readiness for the balancer, and metrics.

use std::time::Duration;

use mio::net::TcpStream;

use crate::format::PlatformFormat;
use crate::http::parse_request;
use crate::net::{ReadEnd, WireChannel};

use super::state::{EdgeState, SideConn, TokenKind, token_of};
use super::timers::{DueTime, TimerKey};

/// Connections of this kind at most.
const MAX_SIDES: usize = 64;

/// Time for which such a connection may stay open.
const SIDE_LIFE: Duration = Duration::from_secs(30);

/// Bytes of a question at most.
const MAX_HEAD: usize = 8 * 1024;

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

impl<F: PlatformFormat> EdgeState<F> {
    /// Takes a new connection.
    pub(crate) fn accept_side(&mut self, stream: TcpStream) {
        if self.sides.len() >= MAX_SIDES {
            return;
        }
        let entry = self.sides.vacant_entry();
        let side = entry.key();
        let mut channel = WireChannel::new(stream);
        let token = token_of(TokenKind::Side, side);
        if channel.register(&self.registry, token).is_err() {
            return;
        }
        let conn = entry.insert(SideConn {
            channel,
            timer: DueTime::default(),
        });
        conn.timer
            .set(self.now + SIDE_LIFE, TimerKey::Side(side), &mut self.timers);
    }

    /// Answers the questions on a connection.
    pub(crate) fn on_side(&mut self, side: usize, closing: bool) {
        loop {
            let Some(conn) = self.sides.get_mut(side) else {
                return;
            };
            let flushed = conn.channel.flush();
            let end = conn.channel.fill(MAX_HEAD, closing);
            let parsed = parse_request(&conn.channel.inbound, MAX_HEAD);
            match parsed {
                Ok(Some(head)) => {
                    conn.channel.consume(head.length);
                    let bytes = self.side_answer(&head.target);
                    let conn = &mut self.sides[side];
                    conn.channel.queue(&bytes);
                    if conn.channel.flush().is_err() {
                        self.sides.remove(side);
                        return;
                    }
                }
                Ok(None) if end == ReadEnd::Open && flushed.is_ok() => return,
                _ => {
                    self.sides.remove(side);
                    return;
                }
            }
        }
    }

    fn side_answer(&mut self, target: &str) -> Vec<u8> {
        let (status, body) = if target == F::READY_PATH {
            let ready = self.is_ready();
            let status = if ready {
                "200 OK"
            } else {
                "503 Service Unavailable"
            };
            (status, format!("{{\"ready\":{ready}}}\n"))
        } else if target == METRICS_PATH {
            self.refresh_gauges();
            ("200 OK", self.metrics.render())
        } else {
            ("404 Not Found", String::new())
        };
        let head = format!(
            "HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        [head.as_bytes(), body.as_bytes()].concat()
    }

    fn refresh_gauges(&mut self) {
        let version = self.table.as_ref().map_or(0, |table| table.version);
        self.metrics
            .table_version
            .set(i64::try_from(version).unwrap_or(i64::MAX));
        let age = self
            .keys
            .age(self.now)
            .map_or(-1, |age| i64::try_from(age.as_millis()).unwrap_or(i64::MAX));
        self.metrics.key_age_ms.set(age);
    }
}
