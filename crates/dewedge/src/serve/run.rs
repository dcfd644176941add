//! Starts, runs, reloads and stops the event loop.

use std::collections::VecDeque;
use std::io;
use std::marker::PhantomData;
use std::net::SocketAddr;
use std::time::Duration;

use dewbudget::{ByteAccount, UploadTable};
use indexmap::{IndexMap, IndexSet};
use mio::net::{TcpListener, UdpSocket, UnixStream};
use mio::{Events, Interest, Poll, Token};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use slab::Slab;
use thiserror::Error;

use crate::clock::{self, Moment};
use crate::directory::{ReplicaDirectory, stable_hash};
use crate::ended_notices::{EndedQueue, ReporterLimits};
use crate::format::PlatformFormat;
use crate::keys::KeyConfirmation;
use crate::load_notices::NoticeQueue;
use crate::logs::LogWriter;
use crate::metrics::EdgeMetrics;
use crate::net::set_listener_options;
use crate::origins::OriginTable;
use crate::peers::PeerTable;
use crate::policy::engine_model::ModelTable;
use crate::policy::load_reports::ReportTable;
use crate::policy::unread::UnreadQueue;
use crate::prefix_notices::PrefixQueue;
use crate::settings::EdgeSettings;
use crate::storage::StoreClient;
use crate::stream_terms::StreamTerms;
use crate::versions::VersionTable;

use super::crashes::CrashWatch;
use super::duties::DutyState;
use super::recording::RecordingState;
use super::state::{EdgeState, TokenKind, token_kind, token_of};
use super::timers::{LazyTimer, TimerHeap, TimerKey};
use super::updates::HOUSEKEEPING_INTERVAL;

const ENTRY_TOKEN: usize = 0;
const READY_TOKEN: usize = 1;
const METRICS_TOKEN: usize = 2;
const PEER_TOKEN: usize = 3;
const STOP_TOKEN: usize = 4;
const RELOAD_TOKEN: usize = 5;
const CALLS_TOKEN: usize = 6;
const WATCH_TOKEN: usize = 7;

/// Token of the connection to the platform's API.
pub(crate) const API_TOKEN: usize = 8;

/// Maximum events handled in one iteration of the loop.
const MAX_EVENTS: usize = 256;

/// Interval at which the settings source is polled.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(2);

/// Source of the settings.
pub trait SettingsSource {
    /// Returns the settings if they have changed.
    ///
    /// # Errors
    ///
    /// Returns why the changed settings are invalid; the previous ones stay in
    /// force.
    fn poll(&mut self) -> Result<Option<EdgeSettings>, String>;
}

/// Why the event loop can't start or continue.
#[derive(Debug, Error)]
pub enum ServeError {
    /// An address can't be bound.
    #[error("can't bind {address} for {purpose}: {source}")]
    Bind {
        /// What the address is for.
        purpose: &'static str,
        /// The address.
        address: SocketAddr,
        /// The underlying error.
        source: io::Error,
    },
    /// The operating system refused a resource of the event loop.
    #[error("can't set up the event loop: {0}")]
    Setup(#[from] io::Error),
}

/// Options of a run that aren't settings.
#[derive(Clone, Copy, Debug, Default)]
pub struct EdgeOptions {
    /// Seed of the random choices; 0 derives one from the clock.
    pub seed: u64,
}

/// The event loop of one process.
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
    /// Binds all addresses and starts loading the tables.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be bound or the operating system
    /// refuses a resource.
    pub fn open(
        settings: EdgeSettings,
        options: EdgeOptions,
        source: S,
    ) -> Result<Self, ServeError> {
        let poll = Poll::new()?;
        let mut entry = bind("callers", settings.entry_address)?;
        set_listener_options(&entry);
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
            keys: KeyConfirmation::new(settings.key_revocation_bound),
            directory: ReplicaDirectory::default(),
            peers: PeerTable::new(&settings.vm),
            peer_socket,
            origins: OriginTable::default(),
            awaiting_origin: Vec::new(),
            view_requested: Moment::ZERO,
            view_confirmed: None,
            versions: VersionTable::default(),
            stream_terms: StreamTerms::default(),
            recording: RecordingState::new(initial_random_state(&settings, options, now)),
            crashes: CrashWatch::default(),
            duties: DutyState::new(&settings, fixed(API_TOKEN)).map(Box::new),
            digest_due: false,
            digest_timer: LazyTimer::default(),
            digest_sent: Moment::ZERO,
            peer_load_stale: false,
            store: StoreClient::new(&settings, (fixed(CALLS_TOKEN), fixed(WATCH_TOKEN))),
            store_timer: LazyTimer::default(),
            store_failing: [false; 2],
            caller_conns: Slab::new(),
            server_conns: Slab::new(),
            admin_conns: Slab::new(),
            exchanges: Slab::new(),
            queues: IndexMap::new(),
            budgets: IndexMap::new(),
            models: ModelTable::default(),
            load_reports: ReportTable::default(),
            load_notices: NoticeQueue::default(),
            ended_notices: EndedQueue::default(),
            prefix_notices: PrefixQueue::default(),
            ended_reporters: ReporterLimits::default(),
            pending_dispatches: VecDeque::new(),
            finished_callers: VecDeque::new(),
            timers: TimerHeap::default(),
            random_state: initial_random_state(&settings, options, now),
            last_received: now,
            unanswered_sends: 0,
            first_unanswered: now,
            connect_failed: false,
            reach_test_due: now,
            was_isolated: false,
            stopping: None,
            account: ByteAccount::default(),
            uploads: UploadTable::default(),
            replan_uploads: false,
            upload_timer: LazyTimer::default(),
            uploads_planned: Moment::ZERO,
            unread_servers: UnreadQueue::default(),
            unread_callers: UnreadQueue::default(),
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

    /// Serves until a stop signal has arrived and the requests have ended.
    ///
    /// # Errors
    ///
    /// Returns an error if waiting for events fails.
    pub fn run(&mut self) -> Result<(), ServeError> {
        let mut events = Events::with_capacity(MAX_EVENTS);
        self.state.drive_store();
        self.state.run_duties();
        while !self.is_finished() {
            self.run_iteration(&mut events)?;
        }
        self.state.end_remaining_requests();
        self.state.send_last_usage();
        while self.state.delivers_last_responses() {
            self.run_iteration(&mut events)?;
        }
        self.state.logs.system("process", "stopped");
        self.state.logs.flush();
        // Gives the log writer thread time to write the last lines.
        std::thread::sleep(Duration::from_millis(20));
        Ok(())
    }

    /// Waits for events and handles them, and the timers that are due.
    fn run_iteration(&mut self, events: &mut Events) -> Result<(), ServeError> {
        let timeout = self.poll_timeout();
        match self.poll.poll(events, timeout) {
            Ok(()) => {}
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(error.into()),
        }
        self.state.now = clock::now();
        self.state.logs.set_now(self.state.now);
        for event in &*events {
            let closing = event.is_read_closed() || event.is_error();
            self.on_event(event.token(), closing);
        }
        self.read_unread();
        // Timers that came due while bytes were read don't wait for the next
        // iteration.
        self.state.now = clock::now();
        self.state.logs.set_now(self.state.now);
        self.fire_timers();
        self.finish_iteration();
        Ok(())
    }

    /// Returns how long to wait for events.
    fn poll_timeout(&self) -> Option<Duration> {
        let state = &self.state;
        if !state.unread_servers.is_empty() || !state.unread_callers.is_empty() {
            return Some(Duration::ZERO);
        }
        let next = state.timers.next().into_iter().chain(state.delivery_end());
        next.min().map(|at| at.saturating_sub(clock::now()))
    }

    /// Reads on from the connections that had more bytes than one iteration of
    /// the loop processes.
    fn read_unread(&mut self) {
        let state = &mut self.state;
        state.unread_servers.start_round();
        while let Some((conn_id, closing)) = state.unread_servers.pop() {
            state.on_server_event(conn_id, closing);
        }
        state.unread_callers.start_round();
        while let Some((caller, closing)) = state.unread_callers.pop() {
            state.read_caller(caller, closing);
        }
    }

    fn on_event(&mut self, token: Token, closing: bool) {
        match token_kind(token) {
            (TokenKind::Caller, caller) => self.state.on_caller_event(caller, closing),
            (TokenKind::Server, conn_id) => self.state.on_server_event(conn_id, closing),
            (TokenKind::Admin, conn_id) => self.state.on_admin_event(conn_id, closing),
            (TokenKind::Fixed, ENTRY_TOKEN) => self.accept_callers(),
            (TokenKind::Fixed, READY_TOKEN) => {
                while let Ok((stream, _)) = self.ready.accept() {
                    self.state.accept_admin(stream);
                }
            }
            (TokenKind::Fixed, METRICS_TOKEN) => {
                while let Some(Ok((stream, _))) = self.metrics.as_ref().map(TcpListener::accept) {
                    self.state.accept_admin(stream);
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
                self.state.store.on_event(token, closing, now);
                self.state.drive_store();
            }
            (TokenKind::Fixed, API_TOKEN) => self.state.on_api_event(closing),
            (TokenKind::Fixed, _) => {}
        }
    }

    fn fire_timers(&mut self) {
        let now = self.state.now;
        while let Some(key) = self.state.timers.pop(now) {
            let state = &mut self.state;
            match key {
                TimerKey::CrashTest => {
                    let timer = state.crashes.timer_mut();
                    if timer.fire(now, key, &mut state.timers) {
                        state.test_suspected_servers();
                    }
                }
                TimerKey::Store => {
                    if state.store_timer.fire(now, key, &mut state.timers) {
                        state.drive_store();
                    }
                }
                TimerKey::Duties => {
                    let timer = state.duties.as_mut().map(|duties| duties.timer_mut());
                    if fire_timer(timer, now, key, &mut state.timers) {
                        state.run_duties();
                    }
                }
                TimerKey::Uploads => {
                    if state.upload_timer.fire(now, key, &mut state.timers) {
                        state.replan_uploads = true;
                    }
                }
                TimerKey::Recording => {
                    if state.recording.timer.fire(now, key, &mut state.timers) {
                        state.run_recording();
                    }
                }
                TimerKey::Digest => {
                    if state.digest_timer.fire(now, key, &mut state.timers) {
                        state.send_digest();
                    }
                }
                TimerKey::Housekeeping => {
                    state.run_housekeeping();
                    if self.settings_due <= now {
                        self.settings_due = now + SETTINGS_INTERVAL;
                        self.reload_settings(false);
                    }
                }
                TimerKey::Caller(caller) => {
                    let timer = state
                        .caller_conns
                        .get_mut(caller)
                        .map(|conn| &mut conn.timer);
                    if fire_timer(timer, now, key, &mut state.timers) {
                        state.on_caller_timer(caller);
                    }
                }
                TimerKey::Exchange(exchange_id) => {
                    let timer = state
                        .exchanges
                        .get_mut(exchange_id)
                        .map(|exchange| &mut exchange.timer);
                    if fire_timer(timer, now, key, &mut state.timers) {
                        state.on_exchange_timer(exchange_id);
                    }
                }
                TimerKey::Server(conn_id) => {
                    let timer = state
                        .server_conns
                        .get_mut(conn_id)
                        .map(|conn| &mut conn.timer);
                    if fire_timer(timer, now, key, &mut state.timers) {
                        state.on_server_timer(conn_id);
                    }
                }
                TimerKey::Admin(conn_id) => {
                    let timer = state
                        .admin_conns
                        .get_mut(conn_id)
                        .map(|conn| &mut conn.timer);
                    if fire_timer(timer, now, key, &mut state.timers) {
                        state.admin_conns.remove(conn_id);
                    }
                }
            }
        }
    }

    /// Handles callers and queues that the events of this iteration unblocked.
    fn finish_iteration(&mut self) {
        let state = &mut self.state;
        state.plan_uploads();
        while !state.pending_dispatches.is_empty() || !state.finished_callers.is_empty() {
            while let Some(caller) = state.finished_callers.pop_front() {
                state.read_caller(caller, false);
            }
            let services: IndexSet<String> = state.pending_dispatches.drain(..).collect();
            for service in services {
                state.dispatch(&service);
            }
        }
        state.schedule_digest();
        if state.logs.is_full() {
            state.logs.flush();
        }
        if state.has_left_balancer() {
            // The balancer no longer sends connections to this VM; the last ones
            // may still be in the kernel's queue.
            self.accept_callers();
            self.entry = None;
            self.state.close_idle_callers();
        }
    }

    /// Accepts all connections in the kernel's queue.
    fn accept_callers(&mut self) {
        while let Some(entry) = &self.entry {
            match entry.accept() {
                Ok((stream, _)) => {
                    if self.state.make_room_for_connection() {
                        self.state.accept_caller(stream);
                    }
                }
                // The caller has gone; others may be in the queue behind it.
                Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) => {
                    self.state
                        .logs
                        .system("entry", "accept_failed")
                        .text("reason", &error.to_string());
                    return;
                }
            }
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
            self.state.run_duties();
        }
    }

    fn is_finished(&self) -> bool {
        let idle = self.state.has_left_balancer()
            && self.state.caller_conns.is_empty()
            && self.state.has_released_duties();
        idle || self
            .state
            .cut_off_time()
            .is_some_and(|cut| cut <= self.state.now)
    }

    fn reload_settings(&mut self, requested: bool) {
        match self.source.poll() {
            Ok(None) if requested => {
                self.state.logs.system("settings", "unchanged");
            }
            Ok(None) => {}
            Ok(Some(settings)) => {
                self.state.logs.system("settings", "reloaded");
                self.state.apply_settings(settings);
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
    /// Applies changed settings; the VM's name, by which others know it, and the
    /// addresses stay as they are until a restart.
    fn apply_settings(&mut self, mut settings: EdgeSettings) {
        let kept = &self.settings;
        let needs_restart = [
            ("vm", settings.vm != kept.vm),
            (
                "entry_address",
                settings.entry_address != kept.entry_address,
            ),
            (
                "ready_address",
                settings.ready_address != kept.ready_address,
            ),
            (
                "metrics_address",
                settings.metrics_address != kept.metrics_address,
            ),
            ("peer_address", settings.peer_address != kept.peer_address),
            (
                "store_address",
                settings.store_address != kept.store_address,
            ),
        ];
        for (field, _) in needs_restart.iter().filter(|(_, changed)| *changed) {
            self.logs
                .system("settings", "needs_restart")
                .text("field", field);
        }
        settings.vm = kept.vm.clone();
        settings.entry_address = kept.entry_address;
        settings.ready_address = kept.ready_address;
        settings.metrics_address = kept.metrics_address;
        settings.peer_address = kept.peer_address;
        settings.store_address = kept.store_address;
        let duties_changed = settings.duties != kept.duties;
        if settings.key_revocation_bound != self.settings.key_revocation_bound {
            // The new bound applies from the next confirmation.
            self.keys = KeyConfirmation::new(settings.key_revocation_bound);
        }
        if settings.retry_ratio != self.settings.retry_ratio
            || settings.retry_window != self.settings.retry_window
        {
            for budget in self.budgets.values_mut() {
                budget.set_limit(settings.retry_ratio, settings.retry_window);
            }
        }
        self.store.apply_settings(&settings);
        self.settings = settings;
        if duties_changed {
            self.apply_duty_settings();
        }
    }
}

/// Handles a fired timer; returns whether its owner still exists and is due.
fn fire_timer(
    timer: Option<&mut LazyTimer>,
    now: Moment,
    key: TimerKey,
    timers: &mut TimerHeap,
) -> bool {
    timer.is_some_and(|timer| timer.fire(now, key, timers))
}

fn initial_random_state(settings: &EdgeSettings, options: EdgeOptions, now: Moment) -> u64 {
    let seed = match options.seed {
        0 => now.as_nanos() as u64,
        seed => seed,
    };
    (stable_hash(settings.vm.as_bytes()) ^ seed.rotate_left(17)) | 1
}
