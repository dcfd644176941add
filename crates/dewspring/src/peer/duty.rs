//! The thread of the peer duty: its runtime and the rounds of heartbeats.

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
use super::listener::PeerListener;
use super::member::VmIdentity;
use super::messages::VmEndpoint;
use super::preface::ProofKey;
use super::settings::PeerSettings;
use super::shared::{PeerCore, PeerShared};
use super::targets::HEARTBEAT_INTERVAL;
use crate::configuration::ConfigExchange;
use crate::ids::Revision;
use crate::store::{VmDirectory, VmEntry};

/// Time between two looks at the revision in force and at new lists.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time between two searches for unused connections.
const TIDY_INTERVAL: Duration = Duration::from_secs(1);

/// Lists that wait to be taken in.
const LIST_RING: usize = 2;

/// Steps in which a shutdown waits for notices that are still to be sent.
const FLUSH_STEPS: u32 = 30;

/// Length of such a step.
const FLUSH_STEP: Duration = Duration::from_millis(10);

/// The peer duty, which exchanges messages with the other VMs.
#[derive(Debug)]
pub struct PeerWorker;

impl PeerWorker {
    /// Starts the duty on threads of its own.
    ///
    /// # Errors
    ///
    /// A [`PeerStartError`] if the address can't be listened on, or a thread
    /// can't be started.
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
        let lists = start_reader(directory, settings.list_interval)?;
        let core = PeerCore {
            shared: Arc::clone(&shared),
            exchange,
            grants,
        };
        let duty = RoundDuty::new(core, lists, settings.seed);
        let thread = std::thread::Builder::new()
            .name("peer".into())
            .spawn(move || run_thread(runtime, duty, listener, stopped))
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
/// The thread ends by itself when the ring is closed; nobody waits for it,
/// since the platform may keep it.
fn start_reader(
    directory: impl VmDirectory,
    pause: Duration,
) -> Result<ListReceiver, PeerStartError> {
    let (sender, lists) = channel::bounded(LIST_RING);
    let (stop, stopped) = channel::bounded::<()>(0);
    std::thread::Builder::new()
        .name("peer-directory".into())
        .spawn(move || read_lists(&directory, pause, &sender, &stopped))
        .map_err(PeerStartError::Start)?;
    Ok(ListReceiver { lists, _stop: stop })
}

fn read_lists(
    directory: &impl VmDirectory,
    pause: Duration,
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
            Err(error) => log::warn!("peer: {error}; the last list stays in force."),
        }
        if stopped.recv_timeout(pause) != Err(RecvTimeoutError::Timeout) {
            return;
        }
    }
}

/// The lists that the reader hands over; dropping it ends the reader.
struct ListReceiver {
    lists: Receiver<Vec<VmEntry>>,
    _stop: Sender<()>,
}

fn run_thread<Exchange: ConfigExchange, Grants: GrantService>(
    runtime: Runtime,
    duty: RoundDuty<Exchange, Grants>,
    listener: StdListener,
    mut stopped: watch::Receiver<bool>,
) {
    runtime.block_on(async move {
        let listener = TcpListener::from_std(listener).expect("the listener is non-blocking");
        let shared = Arc::clone(&duty.core.shared);
        let listening = tokio::spawn(PeerListener::new(duty.core.clone()).run(listener));
        let rounds = std::pin::pin!(duty.run());
        let stop = std::pin::pin!(stopped.wait_for(|stop| *stop));
        match select(rounds, stop).await {
            Either::Left((never, _)) => match never {},
            Either::Right(_) => flush_notices(&shared).await,
        }
        listening.abort();
    });
    // The offer of a document may still run on a thread of the runtime.
    runtime.shutdown_background();
}

/// Waits for a short time until all notices are sent.
async fn flush_notices(shared: &PeerShared) {
    for _ in 0..FLUSH_STEPS {
        if !shared.links.have_notices() {
            return;
        }
        sleep(FLUSH_STEP).await;
    }
}

/// What the rounds never return.
enum Never {}

/// The rounds of heartbeats, and what is looked at between them.
struct RoundDuty<Exchange, Grants> {
    core: PeerCore<Exchange, Grants>,
    lists: ListReceiver,
    rng: SmallRng,
    pulls: Arc<Semaphore>,
    revision: Revision,
    is_draining: bool,
    next_round: Option<Instant>,
    next_tidy: Instant,
}

impl<Exchange: ConfigExchange, Grants: GrantService> RoundDuty<Exchange, Grants> {
    fn new(core: PeerCore<Exchange, Grants>, lists: ListReceiver, seed: u64) -> Self {
        RoundDuty {
            core,
            lists,
            rng: SmallRng::seed_from_u64(seed),
            pulls: Arc::new(Semaphore::new(super::service::OFFERS_AT_ONCE)),
            revision: 0,
            is_draining: false,
            next_round: None,
            next_tidy: Instant::now() + TIDY_INTERVAL,
        }
    }

    async fn run(mut self) -> Never {
        let mut poll = interval(POLL_INTERVAL);
        poll.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            poll.tick().await;
            let now = Instant::now();
            self.take_lists(now);
            self.start_rounds(now);
            self.spread_changes();
            if self.next_round.is_some_and(|next| now >= next) {
                self.begin_round(now);
            }
            if now >= self.next_tidy {
                self.next_tidy = now + TIDY_INTERVAL;
                self.core.shared.links.close_unused();
            }
        }
    }

    /// Starts the rounds as soon as another VM is known, be it by the list or
    /// because it spoke first while the list can't be read.
    fn start_rounds(&mut self, now: Instant) {
        if self.next_round.is_none() && self.core.shared.membership().knows_members() {
            self.next_round = Some(now);
        }
    }

    /// Takes in new lists; the first one starts the rounds.
    fn take_lists(&mut self, now: Instant) {
        loop {
            match self.lists.lists.try_recv() {
                Ok(list) => {
                    self.core
                        .change(|membership| membership.apply_list(now, &list));
                    self.core.shared.publish();
                    self.next_round.get_or_insert(now);
                }
                Err(TryRecvError::Empty | TryRecvError::Disconnected) => return,
            }
        }
    }

    /// Tells some VMs at once when the revision in force has risen, or when
    /// this VM is about to leave.
    fn spread_changes(&mut self) {
        let revision = self.core.exchange.revision();
        self.core.shared.revisions.note_in_force(revision);
        let is_draining = self.core.shared.membership().is_draining();
        if revision <= self.revision && is_draining == self.is_draining {
            return;
        }
        self.revision = revision.max(self.revision);
        self.is_draining = is_draining;
        let targets = self.core.shared.membership().spread_targets(&mut self.rng);
        for target in targets {
            tokio::spawn(self.exchanger().exchange(target));
        }
    }

    fn begin_round(&mut self, now: Instant) {
        // A little jitter keeps the rounds of a fleet apart.
        let jitter = self.rng.random_range(0..=POLL_INTERVAL.as_millis() as u64);
        self.next_round = Some(now + HEARTBEAT_INTERVAL + Duration::from_millis(jitter));
        let rng = &mut self.rng;
        let targets = self.core.change(|membership| membership.tick(now, rng));
        self.core.shared.publish();
        for target in targets {
            tokio::spawn(self.exchanger().exchange(target));
        }
    }

    fn exchanger(&self) -> HeartbeatExchanger<Exchange, Grants> {
        HeartbeatExchanger {
            core: self.core.clone(),
            pulls: Arc::clone(&self.pulls),
        }
    }
}
