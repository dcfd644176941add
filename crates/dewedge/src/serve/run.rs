//! Starts, drives, reloads and stops the loop.

use std::collections::VecDeque;
use std::io;
use std::marker::PhantomData;
use std::net::SocketAddr;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use mio::net::{TcpListener, UdpSocket, UnixStream};
use mio::{Events, Interest, Poll, Token};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use slab::Slab;
use thiserror::Error;

use crate::clock::{self, Moment};
use crate::directory::{ReplicaDirectory, stable_hash};
use crate::format::PlatformFormat;
use crate::keys::KeyClock;
use crate::logs::LogWriter;
use crate::metrics::EdgeMetrics;
use crate::peers::PeerTable;
use crate::settings::EdgeSettings;
use crate::storage::StoreDuty;

use super::news::HOUSEKEEPING_INTERVAL;
use super::state::{CallerPhase, EdgeState, TokenKind, token_kind, token_of};
use super::timers::{DueTime, TimerHeap, TimerKey};

const ENTRY_TOKEN: usize = 0;
const READY_TOKEN: usize = 1;
const METRICS_TOKEN: usize = 2;
const PEER_TOKEN: usize = 3;
const STOP_TOKEN: usize = 4;
const RELOAD_TOKEN: usize = 5;
const CALLS_TOKEN: usize = 6;
const WATCH_TOKEN: usize = 7;

/// Events that are taken in one turn.
const MAX_EVENTS: usize = 256;

/// Time between two looks at the file of the settings.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(2);

/// Where the settings come from.
pub trait SettingsSource {
    /// Returns the settings if they changed.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the changed settings; the old ones stay.
    fn poll(&mut self) -> Result<Option<EdgeSettings>, String>;
}

/// Why the loop can't start or go on.
#[derive(Debug, Error)]
pub enum ServeError {
    /// An address can't be bound.
    #[error("can't bind {address} for {purpose}: {source}")]
    Bind {
        /// What the address is for.
        purpose: &'static str,
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The system refuses what the loop needs.
    #[error("can't set up the loop: {0}")]
    Setup(#[from] io::Error),
}

/// What differs between runs beside the settings.
#[derive(Clone, Copy, Debug, Default)]
pub struct EdgeOptions {
    /// Seed of the choices that are spread at random; 0 takes one from the clock.
    pub seed: u64,
}

/// The loop of one process.
#[derive(Debug)]
pub struct EdgeLoop<F, S> {
    poll: Poll,
    state: EdgeState<F>,
    source: S,
    settings_due: Moment,
    entry: Option<TcpListener>,
    ready: TcpListener,
    metrics: Option<TcpListener>,
    stop: UnixStream,
    reload: UnixStream,
}

fn bind(purpose: &'static str, address: SocketAddr) -> Result<TcpListener, ServeError> {
    TcpListener::bind(address).map_err(|source| ServeError::Bind {
        purpose,
        address,
        source,
    })
}

fn signal_pipe(signals: &[i32]) -> io::Result<UnixStream> {
    let (reader, writer) = std::os::unix::net::UnixStream::pair()?;
    for signal in signals {
        signal_hook::low_level::pipe::register(*signal, writer.try_clone()?)?;
    }
    reader.set_nonblocking(true)?;
    Ok(UnixStream::from_std(reader))
}

impl<F: PlatformFormat, S: SettingsSource> EdgeLoop<F, S> {
    /// Binds all addresses and starts to load the tables.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be bound.
    pub fn open(
        settings: EdgeSettings,
        options: EdgeOptions,
        source: S,
    ) -> Result<Self, ServeError> {
        let poll = Poll::new()?;
        let mut entry = bind("callers", settings.entry_address)?;
        let mut ready = bind("readiness", settings.ready_address)?;
        let mut metrics = match settings.metrics_address == settings.ready_address {
            true => None,
            false => Some(bind("metrics", settings.metrics_address)?),
        };
        let mut peer_socket =
            UdpSocket::bind(settings.peer_address).map_err(|source| ServeError::Bind {
                purpose: "digests",
                address: settings.peer_address,
                source,
            })?;
        let mut stop = signal_pipe(&[SIGTERM, SIGINT])?;
        let mut reload = signal_pipe(&[SIGHUP])?;
        let registry = poll.registry();
        let fixed = |index| token_of(TokenKind::Fixed, index);
        registry.register(&mut entry, fixed(ENTRY_TOKEN), Interest::READABLE)?;
        registry.register(&mut ready, fixed(READY_TOKEN), Interest::READABLE)?;
        if let Some(metrics) = &mut metrics {
            registry.register(metrics, fixed(METRICS_TOKEN), Interest::READABLE)?;
        }
        registry.register(&mut peer_socket, fixed(PEER_TOKEN), Interest::READABLE)?;
        registry.register(&mut stop, fixed(STOP_TOKEN), Interest::READABLE)?;
        registry.register(&mut reload, fixed(RELOAD_TOKEN), Interest::READABLE)?;
        let registry = registry.try_clone()?;
        let now = clock::now();
        let mut state = EdgeState {
            registry,
            now,
            logs: LogWriter::spawn(),
            metrics: EdgeMetrics::new(),
            table: None,
            keys: KeyClock::new(settings.key_revocation_bound),
            directory: ReplicaDirectory::default(),
            peers: PeerTable::new(&settings.vm),
            peer_socket,
            digest_due: false,
            digest_timer: DueTime::default(),
            digest_sent: Moment::ZERO,
            others_stale: false,
            store: StoreDuty::new(&settings, (fixed(CALLS_TOKEN), fixed(WATCH_TOKEN))),
            store_timer: DueTime::default(),
            store_lost: [false; 2],
            callers: Slab::new(),
            servers: Slab::new(),
            sides: Slab::new(),
            exchanges: Slab::new(),
            queues: IndexMap::new(),
            budgets: IndexMap::new(),
            wakes: VecDeque::new(),
            freed_callers: VecDeque::new(),
            timers: TimerHeap::default(),
            random: first_random(&settings, options, now),
            last_heard: now,
            unheard: 0,
            first_unheard: now,
            stopping: None,
            body_bytes: 0,
            format: PhantomData,
            settings,
        };
        state.logs.set_now(now);
        state
            .logs
            .system("process", "started")
            .text("vm", &state.settings.vm)
            .text("data_centre", &state.settings.data_centre)
            .text("entry", &state.settings.entry_address.to_string());
        state
            .timers
            .arm(now + HOUSEKEEPING_INTERVAL, TimerKey::Housekeeping);
        Ok(Self {
            poll,
            state,
            source,
            settings_due: now + SETTINGS_INTERVAL,
            entry: Some(entry),
            ready,
            metrics,
            stop,
            reload,
        })
    }

    /// Serves until the process is asked to stop and its requests have ended.
    ///
    /// # Errors
    ///
    /// Returns an error if the system refuses to wait for events.
    pub fn run(&mut self) -> Result<(), ServeError> {
        let mut events = Events::with_capacity(MAX_EVENTS);
        self.state.drive_store();
        while !self.is_finished() {
            let timeout = self
                .state
                .timers
                .next()
                .map(|at| at.saturating_sub(clock::now()));
            match self.poll.poll(&mut events, timeout) {
                Ok(()) => {}
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error.into()),
            }
            self.state.now = clock::now();
            self.state.logs.set_now(self.state.now);
            for event in &events {
                let closing = event.is_read_closed() || event.is_error();
                self.on_event(event.token(), closing);
            }
            self.fire_timers();
            self.finish_turn();
        }
        self.state.logs.system("process", "stopped");
        self.state.logs.hand_over();
        // The writer of the logs gets a moment for the last lines.
        std::thread::sleep(Duration::from_millis(20));
        Ok(())
    }

    fn on_event(&mut self, token: Token, closing: bool) {
        match token_kind(token) {
            (TokenKind::Caller, caller) => self.state.on_caller(caller, closing),
            (TokenKind::Server, server) => self.state.on_server(server, closing),
            (TokenKind::Side, side) => self.state.on_side(side, closing),
            (TokenKind::Fixed, ENTRY_TOKEN) => {
                while let Some(Ok((stream, _))) = self.entry.as_ref().map(TcpListener::accept) {
                    self.state.accept_caller(stream);
                }
            }
            (TokenKind::Fixed, READY_TOKEN) => {
                while let Ok((stream, _)) = self.ready.accept() {
                    self.state.accept_side(stream);
                }
            }
            (TokenKind::Fixed, METRICS_TOKEN) => {
                while let Some(Ok((stream, _))) = self.metrics.as_ref().map(TcpListener::accept) {
                    self.state.accept_side(stream);
                }
            }
            (TokenKind::Fixed, PEER_TOKEN) => self.state.read_digests(),
            (TokenKind::Fixed, STOP_TOKEN) => self.begin_stop(),
            (TokenKind::Fixed, RELOAD_TOKEN) => {
                let mut buffer = [0; 64];
                while matches!(io::Read::read(&mut self.reload, &mut buffer), Ok(count) if count > 0)
                {
                }
                self.reload_settings(true);
            }
            (TokenKind::Fixed, CALLS_TOKEN | WATCH_TOKEN) => {
                let now = self.state.now;
                self.state.store.on_ready(token, closing, now);
                self.state.drive_store();
            }
            (TokenKind::Fixed, _) => {}
        }
    }

    fn fire_timers(&mut self) {
        let now = self.state.now;
        while let Some(key) = self.state.timers.pop(now) {
            let state = &mut self.state;
            match key {
                TimerKey::Store => {
                    if state.store_timer.fire(now, key, &mut state.timers) {
                        state.drive_store();
                    }
                }
                TimerKey::Digest => {
                    if state.digest_timer.fire(now, key, &mut state.timers) {
                        state.send_digest();
                    }
                }
                TimerKey::Housekeeping => {
                    state.keep_house();
                    if self.settings_due <= now {
                        self.settings_due = now + SETTINGS_INTERVAL;
                        self.reload_settings(false);
                    }
                }
                TimerKey::Caller(caller) => {
                    let timer = state.callers.get_mut(caller).map(|conn| &mut conn.timer);
                    if is_due(timer, now, key, &mut state.timers) {
                        state.on_caller_timer(caller);
                    }
                }
                TimerKey::Exchange(exchange) => {
                    let timer = state
                        .exchanges
                        .get_mut(exchange)
                        .map(|item| &mut item.timer);
                    if is_due(timer, now, key, &mut state.timers) {
                        state.on_exchange_timer(exchange);
                    }
                }
                TimerKey::Server(server) => {
                    let timer = state.servers.get_mut(server).map(|conn| &mut conn.timer);
                    if is_due(timer, now, key, &mut state.timers) {
                        state.on_server_timer(server);
                    }
                }
                TimerKey::Side(side) => {
                    let timer = state.sides.get_mut(side).map(|conn| &mut conn.timer);
                    if is_due(timer, now, key, &mut state.timers) {
                        state.sides.remove(side);
                    }
                }
            }
        }
    }

    /// Does what events of this turn made possible.
    fn finish_turn(&mut self) {
        let state = &mut self.state;
        while !state.wakes.is_empty() || !state.freed_callers.is_empty() {
            while let Some(caller) = state.freed_callers.pop_front() {
                state.read_caller(caller, false);
            }
            let services: IndexSet<String> = state.wakes.drain(..).collect();
            for service in services {
                state.dispatch(&service);
            }
        }
        state.schedule_digest();
        if state.logs.is_full() {
            state.logs.hand_over();
        }
        if state.has_left() {
            // The balancer sends no more connections here.
            self.entry = None;
            close_idle_callers(state);
        }
    }

    fn begin_stop(&mut self) {
        let mut buffer = [0; 64];
        while matches!(io::Read::read(&mut self.stop, &mut buffer), Ok(count) if count > 0) {}
        if self.state.stopping.is_none() {
            self.state.stopping = Some(self.state.now);
            self.state
                .logs
                .system("process", "stopping")
                .number("in_flight", self.state.exchanges.len() as u64);
        }
    }

    fn is_finished(&self) -> bool {
        let idle = self.state.has_left() && self.state.callers.is_empty();
        idle || self
            .state
            .cut_off()
            .is_some_and(|cut| cut <= self.state.now)
    }

    fn reload_settings(&mut self, asked: bool) {
        match self.source.poll() {
            Ok(None) if asked => {
                self.state.logs.system("settings", "unchanged");
            }
            Ok(None) => {}
            Ok(Some(settings)) => {
                self.state.logs.system("settings", "reloaded");
                self.state.take_settings(settings);
            }
            Err(reason) => {
                self.state
                    .logs
                    .system("settings", "rejected")
                    .text("reason", &reason);
            }
        }
    }
}

impl<F: PlatformFormat> EdgeState<F> {
    /// Takes changed settings; addresses that are bound stay.
    fn take_settings(&mut self, settings: EdgeSettings) {
        if settings.key_revocation_bound != self.settings.key_revocation_bound {
            // The next confirmation counts from the new bound.
            self.keys = KeyClock::new(settings.key_revocation_bound);
        }
        if settings.retry_ratio != self.settings.retry_ratio
            || settings.retry_window != self.settings.retry_window
        {
            self.budgets.clear();
        }
        self.store.set_pace(&settings);
        self.settings = settings;
    }
}

/// Takes a timer that fired; returns whether the thing still exists and is due.
fn is_due(timer: Option<&mut DueTime>, now: Moment, key: TimerKey, timers: &mut TimerHeap) -> bool {
    timer.is_some_and(|timer| timer.fire(now, key, timers))
}

fn close_idle_callers<F: PlatformFormat>(state: &mut EdgeState<F>) {
    let idle: Vec<usize> = state
        .callers
        .iter()
        .filter(|(_, conn)| matches!(conn.phase, CallerPhase::Head) && conn.head_since.is_none())
        .map(|(caller, _)| caller)
        .collect();
    for caller in idle {
        state.close_idle(caller);
    }
}

fn first_random(settings: &EdgeSettings, options: EdgeOptions, now: Moment) -> u64 {
    let seed = match options.seed {
        0 => now.as_nanos() as u64,
        seed => seed,
    };
    (stable_hash(settings.vm.as_bytes()) ^ seed.rotate_left(17)) | 1
}
