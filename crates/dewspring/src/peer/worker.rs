//! Thread of the peer worker: its async runtime and the rounds of heartbeats.

use std::net::TcpListener as StdListener;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crossbeam::channel::{self, Receiver, RecvTimeoutError, Sender, TryRecvError};
use futures::future::{Either, select};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Runtime};
use tokio::sync::{Semaphore, watch};
use tokio::time::{MissedTickBehavior, interval, sleep};

use super::errors::PeerStartError;
use super::exchanger::HeartbeatExchanger;
use super::grants::GrantService;
use super::handle::{HandleParts, PeerHandle};
use super::handshake::ProofKey;
use super::listener::PeerListener;
use super::member::VmIdentity;
use super::messages::VmEndpoint;
use super::settings::PeerSettings;
use super::shared::{PeerCore, PeerShared};
use super::targets::HEARTBEAT_INTERVAL;
use crate::configuration::ConfigExchange;
use crate::ids::Revision;
use crate::store::{VmDirectory, VmEntry};

/// Interval at which the revision in force and new lists are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Interval at which idle connections are closed.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Capacity of the queue of lists between the reader thread and the worker.
const LIST_QUEUE_CAPACITY: usize = 2;

/// Most polls for unsent notices at shutdown.
const MAX_FLUSH_POLLS: u32 = 30;

/// Interval between these polls.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Worker that exchanges messages with the other VMs.
#[derive(Debug)]
pub struct PeerWorker;

impl PeerWorker {
    /// Starts the worker on its own threads.
    ///
    /// # Errors
    ///
    /// A [`PeerStartError`] if the address can't be bound or a thread can't be
    /// started.
    pub fn spawn(
        settings: PeerSettings,
        exchange: impl ConfigExchange,
        directory: impl VmDirectory,
        grants: impl GrantService,
    ) -> Result<PeerHandle, PeerStartError> {
        let listener = StdListener::bind(settings.listen).map_err(PeerStartError::Listen)?;
        listener
            .set_nonblocking(true)
            .map_err(PeerStartError::Listen)?;
        let bound = listener.local_addr().map_err(PeerStartError::Listen)?;
        let identity = VmIdentity {
            vm: settings.vm,
            boot: settings.boot,
            endpoint: VmEndpoint {
                address: settings.advertised.unwrap_or(bound),
                data_centre: settings.data_centre,
            },
        };
        let shared = Arc::new(PeerShared::new(identity, ProofKey::new(&settings.secret)));
        let runtime = start_runtime()?;
        let runtime_handle = runtime.handle().clone();
        let (stop, stopped) = watch::channel(false);
        let lists = start_list_reader(directory, settings.list_interval)?;
        let core = PeerCore {
            shared: Arc::clone(&shared),
            exchange,
            grants,
        };
        let rounds = HeartbeatRounds::new(core, lists, settings.seed);
        let thread = std::thread::Builder::new()
            .name("peer".into())
            .spawn(move || run_thread(runtime, rounds, listener, stopped))
            .map_err(PeerStartError::Start)?;
        log::info!("peer: {} listens on {bound}.", shared.identity.vm);
        Ok(PeerHandle::new(HandleParts {
            shared,
            runtime: runtime_handle,
            stop,
            thread: Mutex::new(Some(thread)),
            bound,
        }))
    }
}

fn start_runtime() -> Result<Runtime, PeerStartError> {
    Builder::new_current_thread()
        .enable_io()
        .enable_time()
        .thread_name("peer-offer")
        .max_blocking_threads(2)
        .build()
        .map_err(PeerStartError::Start)
}

/// Starts the thread that reads the platform's list.
///
/// The thread ends when the receiver is dropped. It isn't joined, since a
/// request to the platform may block it.
fn start_list_reader(
    directory: impl VmDirectory,
    interval: Duration,
) -> Result<ListReceiver, PeerStartError> {
    let (sender, lists) = channel::bounded(LIST_QUEUE_CAPACITY);
    let (stop, stopped) = channel::bounded::<()>(0);
    std::thread::Builder::new()
        .name("peer-directory".into())
        .spawn(move || read_lists(&directory, interval, &sender, &stopped))
        .map_err(PeerStartError::Start)?;
    Ok(ListReceiver { lists, _stop: stop })
}

fn read_lists(
    directory: &impl VmDirectory,
    interval: Duration,
    sender: &Sender<Vec<VmEntry>>,
    stopped: &Receiver<()>,
) {
    loop {
        match directory.list() {
            Ok(list) => {
                if sender.send(list).is_err() {
                    return;
                }
            }
            Err(error) => log::warn!("peer: {error}; keeping the last list."),
        }
        if stopped.recv_timeout(interval) != Err(RecvTimeoutError::Timeout) {
            return;
        }
    }
}

/// Receiver of the platform's lists; dropping it ends the reader thread.
struct ListReceiver {
    lists: Receiver<Vec<VmEntry>>,
    _stop: Sender<()>,
}

fn run_thread<Exchange: ConfigExchange, Grants: GrantService>(
    runtime: Runtime,
    rounds: HeartbeatRounds<Exchange, Grants>,
    listener: StdListener,
    mut stopped: watch::Receiver<bool>,
) {
    runtime.block_on(async move {
        let listener = TcpListener::from_std(listener).expect("the listener is non-blocking");
        let shared = Arc::clone(&rounds.core.shared);
        let listening = tokio::spawn(PeerListener::new(rounds.core.clone()).run(listener));
        let rounds = std::pin::pin!(rounds.run());
        let stop = std::pin::pin!(stopped.wait_for(|stop| *stop));
        match select(rounds, stop).await {
            Either::Left((never, _)) => match never {},
            Either::Right(_) => flush_notices(&shared).await,
        }
        listening.abort();
    });
    // A configuration document may still be parsed on a blocking thread of the runtime.
    runtime.shutdown_background();
}

/// Waits until all notices are sent, but only for a short time.
async fn flush_notices(shared: &PeerShared) {
    for _ in 0..MAX_FLUSH_POLLS {
        if !shared.links.have_notices() {
            return;
        }
        sleep(FLUSH_POLL_INTERVAL).await;
    }
}

/// Return type of the rounds, which never end by themselves.
enum Never {}

/// Rounds of heartbeats, and the polling between them.
struct HeartbeatRounds<Exchange, Grants> {
    core: PeerCore<Exchange, Grants>,
    lists: ListReceiver,
    rng: SmallRng,
    pull_permits: Arc<Semaphore>,
    revision: Revision,
    is_draining: bool,
    next_round: Option<Instant>,
    next_idle_check: Instant,
}

impl<Exchange: ConfigExchange, Grants: GrantService> HeartbeatRounds<Exchange, Grants> {
    fn new(core: PeerCore<Exchange, Grants>, lists: ListReceiver, seed: u64) -> Self {
        HeartbeatRounds {
            core,
            lists,
            rng: SmallRng::seed_from_u64(seed),
            pull_permits: Arc::new(Semaphore::new(super::service::MAX_CONCURRENT_OFFERS)),
            revision: 0,
            is_draining: false,
            next_round: None,
            next_idle_check: Instant::now() + IDLE_CHECK_INTERVAL,
        }
    }

    async fn run(mut self) -> Never {
        let mut poll_timer = interval(POLL_INTERVAL);
        poll_timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            poll_timer.tick().await;
            let now = Instant::now();
            self.receive_lists(now);
            self.schedule_first_round(now);
            self.gossip_changes();
            if self.next_round.is_some_and(|next| now >= next) {
                self.start_round(now);
            }
            if now >= self.next_idle_check {
                self.next_idle_check = now + IDLE_CHECK_INTERVAL;
                self.core.shared.links.close_idle();
            }
        }
    }

    /// Schedules the first round once another VM is known.
    ///
    /// It may be known by its own heartbeat while the list can't be read.
    fn schedule_first_round(&mut self, now: Instant) {
        if self.next_round.is_none() && self.core.shared.membership().has_members() {
            self.next_round = Some(now);
        }
    }

    /// Applies new lists; the first one starts the rounds.
    fn receive_lists(&mut self, now: Instant) {
        loop {
            match self.lists.lists.try_recv() {
                Ok(list) => {
                    self.core
                        .update_membership(|membership| membership.apply_list(now, &list));
                    self.core.shared.publish();
                    self.next_round.get_or_insert(now);
                }
                Err(TryRecvError::Empty | TryRecvError::Disconnected) => return,
            }
        }
    }

    /// Sends heartbeats to random VMs at once if the revision in force rose or
    /// this VM started to drain.
    fn gossip_changes(&mut self) {
        let revision = self.core.exchange.revision();
        self.core.shared.revisions.record_in_force(revision);
        let is_draining = self.core.shared.membership().is_draining();
        if revision <= self.revision && is_draining == self.is_draining {
            return;
        }
        self.revision = revision.max(self.revision);
        self.is_draining = is_draining;
        let targets = self.core.shared.membership().gossip_targets(&mut self.rng);
        for target in targets {
            tokio::spawn(self.exchanger().exchange(target));
        }
    }

    fn start_round(&mut self, now: Instant) {
        // Jitter keeps the VMs of a fleet from sending their heartbeats in step.
        let jitter = self.rng.random_range(0..=POLL_INTERVAL.as_millis() as u64);
        self.next_round = Some(now + HEARTBEAT_INTERVAL + Duration::from_millis(jitter));
        let rng = &mut self.rng;
        let targets = self
            .core
            .update_membership(|membership| membership.tick(now, rng));
        self.core.shared.publish();
        for target in targets {
            tokio::spawn(self.exchanger().exchange(target));
        }
    }

    fn exchanger(&self) -> HeartbeatExchanger<Exchange, Grants> {
        HeartbeatExchanger {
            core: self.core.clone(),
            pull_permits: Arc::clone(&self.pull_permits),
        }
    }
}
