//! Admin connections: readiness checks of the balancer, metrics, and the duties
//! of the fleet.

use std::time::Duration;

use dewbudget::{AccountPart, BodySink};
use mio::net::TcpStream;

use crate::format::PlatformFormat;
use crate::http::{
    BodyDecoder, BodyLength, ConnectionState, ContentFraming, HeadError, ResponseStart,
    parse_request,
};
use crate::metrics::PartLabels;
use crate::net::TcpChannel;

use super::response_channel::ResponseChannel;
use super::state::{AdminConn, EdgeState, TokenKind, token_of};
use super::timers::{LazyTimer, TimerKey};

/// Maximum number of open admin connections.
const MAX_ADMIN_CONNS: usize = 64;

/// Time after which an admin connection is closed.
const ADMIN_CONN_LIFETIME: Duration = Duration::from_secs(30);

/// Maximum bytes of a request head.
const MAX_HEAD: usize = 8 * 1024;

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Path of the duties of the fleet.
const DUTIES_PATH: &str = "/duties";

/// Maximum bytes of a request's content, which is read and discarded.
const MAX_CONTENT: usize = 64 * 1024;

/// Why a connection whose request has unusable content is closed.
const BAD_CONTENT: HeadError = HeadError::Malformed("content");

/// Content of a request that is read and discarded.
#[derive(Debug)]
pub(crate) struct DiscardedContent {
    decoder: BodyDecoder,
    received: ReceivedBytes,
}

/// Counts content without keeping it.
#[derive(Debug, Default)]
struct ReceivedBytes(usize);

impl BodySink for ReceivedBytes {
    fn append(&mut self, bytes: &[u8]) {
        self.0 += bytes.len();
    }
}

impl DiscardedContent {
    fn new(length: BodyLength) -> Self {
        Self {
            decoder: BodyDecoder::new(length),
            received: ReceivedBytes::default(),
        }
    }

    /// Discards received content; returns whether that was all of it.
    fn discard(&mut self, channel: &mut ResponseChannel) -> Result<bool, HeadError> {
        let decoded = self.decoder.decode(&channel.inbound, &mut self.received);
        channel.consume(decoded.map_err(|_| BAD_CONTENT)?);
        match self.received.0 > MAX_CONTENT {
            true => Err(BAD_CONTENT),
            false => Ok(self.decoder.is_done()),
        }
    }
}

impl<F: PlatformFormat> EdgeState<F> {
    /// Accepts an admin connection.
    pub(crate) fn accept_admin(&mut self, stream: TcpStream) {
        if self.admin_conns.len() >= MAX_ADMIN_CONNS {
            return;
        }
        let charges = self.channel_charges(AccountPart::Input);
        let entry = self.admin_conns.vacant_entry();
        let conn_id = entry.key();
        let mut channel = ResponseChannel::new(TcpChannel::new(stream, charges));
        let token = token_of(TokenKind::Admin, conn_id);
        if channel.register(&self.registry, token).is_err() {
            return;
        }
        let conn = entry.insert(AdminConn {
            channel,
            content: DiscardedContent::new(BodyLength::Exact(0)),
            timer: LazyTimer::default(),
        });
        conn.timer.set(
            self.now + ADMIN_CONN_LIFETIME,
            TimerKey::Admin(conn_id),
            &mut self.timers,
        );
    }

    /// Responds to the requests on an admin connection.
    pub(crate) fn on_admin_event(&mut self, conn_id: usize, closing: bool) {
        loop {
            let Some(conn) = self.admin_conns.get_mut(conn_id) else {
                return;
            };
            let flushed = conn.channel.flush();
            if flushed.is_ok() && conn.channel.unsent() > 0 && !closing {
                // The next response follows once this one is taken.
                return;
            }
            let connection = conn.channel.fill(MAX_HEAD, closing);
            let parsed = match conn.content.discard(&mut conn.channel) {
                Ok(true) => {
                    conn.channel.expect_request();
                    parse_request(&conn.channel.inbound, MAX_HEAD)
                }
                // No event announces the rest.
                Ok(false) if conn.channel.may_have_more() => continue,
                Ok(false) => Ok(None),
                Err(error) => Err(error),
            };
            match parsed {
                Ok(Some(head)) => {
                    conn.channel.consume(head.length);
                    conn.content = DiscardedContent::new(head.body);
                    let (status, body) = self.admin_response(&head.target);
                    let length = body.len() as u64;
                    let conn = &mut self.admin_conns[conn_id];
                    conn.channel.queue_head(&ResponseStart {
                        status,
                        fields: b"",
                        framing: ContentFraming::Length(length),
                        omitted_length: Some(length),
                        is_last: false,
                    });
                    conn.channel.queue_content(body.as_bytes());
                    conn.channel.queue_end();
                    if conn.channel.flush().is_err() {
                        self.admin_conns.remove(conn_id);
                        return;
                    }
                }
                Ok(None) if connection == ConnectionState::Open && flushed.is_ok() => return,
                _ => {
                    self.admin_conns.remove(conn_id);
                    return;
                }
            }
        }
    }

    /// Returns the status and content of a response.
    fn admin_response(&mut self, target: &str) -> (u16, String) {
        if target == F::READY_PATH {
            let ready = self.is_ready();
            let status = if ready { 200 } else { 503 };
            (status, format!("{{\"ready\":{ready}}}\n"))
        } else if target == METRICS_PATH {
            self.refresh_gauges();
            (200, self.metrics.render())
        } else if target == DUTIES_PATH {
            (200, self.render_duties())
        } else {
            (404, String::new())
        }
    }

    fn refresh_gauges(&mut self) {
        let version = self.table.as_ref().map_or(0, |table| table.version);
        self.metrics
            .table_version
            .set(i64::try_from(version).unwrap_or(i64::MAX));
        let key_age = gauge_ms(self.keys.age(self.now));
        self.metrics.key_age_ms.set(key_age);
        let watch_age = gauge_ms(self.store.watch_age(self.now));
        self.metrics.watch_age_ms.set(watch_age);
        let connections = i64::try_from(self.caller_conns.len()).unwrap_or(i64::MAX);
        self.metrics.caller_connections.set(connections);
        for part in AccountPart::ALL {
            let labels = PartLabels { part: part.name() };
            let held = i64::try_from(self.account.held(part)).unwrap_or(i64::MAX);
            self.metrics.held_bytes.get_or_create(&labels).set(held);
        }
    }
}

/// Converts an age to the value of a gauge: milliseconds, or -1 for none.
fn gauge_ms(age: Option<Duration>) -> i64 {
    age.map_or(-1, |age| i64::try_from(age.as_millis()).unwrap_or(i64::MAX))
}
