//! Model-based test: applies random events to a broker and checks its decisions
//! against a model of what it may do.

use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use quickcheck::{Arbitrary, Gen};

use super::{BOOT, POOL, config, release, request, servers};
use crate::broker::{
    AttemptOutcome, BrokerSettings, BrokerState, Grant, GrantDecision, GrantRequest, Refusal,
    RefusalReason, ServerMark, ServerReport, ServerState, ServiceTurn, ShareDivisor,
    TicketDecision,
};
use crate::ids::{GrantId, ServerName, TierLevel};
use crate::tables::ServerRow;

/// Number of servers that the events refer to.
const SERVER_COUNT: u8 = 4;
/// Limit on the queued requests, small enough to be reached.
const QUEUE_LIMIT: usize = 6;
/// Tier and floor of each class.
const CLASSES: [(TierLevel, u8); 5] = [(0, 0), (1, 10), (1, 0), (2, 30), (4, 5)];

/// An event at a broker.
#[derive(Clone, Debug)]
pub(super) enum Event {
    RequestGrant(RequestParameters),
    Release(u8, u8),
    Withdraw(u8),
    Report(u8, u8, bool),
    Configure(u8, u8),
    Mark(u8, bool),
    ForgetEntry(u8),
    SetShare(u8),
    Wait(u16),
}

/// Random parameters of a grant request.
#[derive(Clone, Debug)]
pub(super) struct RequestParameters {
    class: u8,
    workspace: u8,
    entry: u8,
    target: u16,
    timeout: u16,
    late_is_useful: bool,
    tokens: u8,
    excluded: Option<u8>,
}

impl Arbitrary for Event {
    fn arbitrary(generator: &mut Gen) -> Self {
        let number = u8::arbitrary(generator);
        match u8::arbitrary(generator) % 20 {
            0..=8 => Self::RequestGrant(RequestParameters::arbitrary(generator)),
            9..=12 => Self::Release(number, u8::arbitrary(generator)),
            13 => Self::Withdraw(number),
            14 => Self::Report(number, u8::arbitrary(generator), number > 200),
            15 => Self::Configure(number, u8::arbitrary(generator)),
            16 => Self::Mark(number, bool::arbitrary(generator)),
            17 => Self::ForgetEntry(number),
            18 => Self::SetShare(number),
            _ => Self::Wait(u16::arbitrary(generator) % 4_000),
        }
    }
}

impl Arbitrary for RequestParameters {
    fn arbitrary(generator: &mut Gen) -> Self {
        Self {
            class: u8::arbitrary(generator) % CLASSES.len() as u8,
            workspace: u8::arbitrary(generator) % 3,
            entry: u8::arbitrary(generator) % 2,
            target: u16::arbitrary(generator) % 8_000,
            timeout: u16::arbitrary(generator) % 16_000,
            late_is_useful: bool::arbitrary(generator),
            tokens: u8::arbitrary(generator),
            excluded: Some(u8::arbitrary(generator) % SERVER_COUNT)
                .filter(|_| u8::arbitrary(generator) < 40),
        }
    }
}

/// A server in the model.
#[derive(Debug)]
struct ModelServer {
    slots: u32,
    is_drained: bool,
    is_reported_leaving: bool,
}

/// An active grant in the model.
#[derive(Debug)]
struct ModelGrant {
    request: GrantRequest,
    server: ServerName,
    expires_at: Instant,
}

/// A broker, and the model of its servers, queued requests and grants.
pub(super) struct BrokerModel {
    state: BrokerState,
    now: Instant,
    revision: u64,
    share: u32,
    servers: IndexMap<ServerName, ModelServer>,
    marked: IndexSet<ServerName>,
    queued: IndexMap<GrantId, GrantRequest>,
    granted: IndexMap<GrantId, ModelGrant>,
    retry_times: IndexSet<Duration>,
}

impl BrokerModel {
    /// Creates a broker with four servers of two slots each.
    pub(super) fn new() -> Self {
        let mut settings = BrokerSettings::new("vm", BOOT);
        settings.queue_limit = QUEUE_LIMIT;
        let mut model = Self {
            state: BrokerState::new(settings),
            now: Instant::now(),
            revision: 0,
            share: 1,
            servers: IndexMap::new(),
            marked: IndexSet::new(),
            queued: IndexMap::new(),
            granted: IndexMap::new(),
            retry_times: IndexSet::new(),
        };
        model.configure(servers(&[2, 2, 2, 2]));
        model
    }

    /// Applies one event and checks the decisions of the broker.
    pub(super) fn apply(&mut self, event: &Event) {
        match event {
            Event::RequestGrant(parameters) => self.request_grant(parameters),
            Event::Release(pick, outcome) => self.release(*pick, *outcome),
            Event::Withdraw(pick) => self.withdraw(*pick),
            Event::Report(server, running, leaving) => self.report(*server, *running, *leaving),
            Event::Configure(slots, drained) => self.configure_from_bits(*slots, *drained),
            Event::Mark(server, leaving) => self.mark(*server, *leaving),
            Event::ForgetEntry(entry) => self.forget_entry(*entry),
            Event::SetShare(share) => {
                self.share = u32::from(share % 3) + 1;
                self.state
                    .set_share(ShareDivisor::new(self.share), self.now);
            }
            Event::Wait(milliseconds) => self.wait(Duration::from_millis((*milliseconds).into())),
        }
        self.check();
    }

    /// Releases every grant and waits until the queue is empty, then checks
    /// that nothing is left.
    pub(super) fn finish(&mut self) {
        while !self.granted.is_empty() || !self.queued.is_empty() {
            while !self.granted.is_empty() {
                self.release(0, 0);
                self.check();
            }
            self.wait(Duration::from_secs(20));
            self.check();
        }
        let status = self.state.status();
        assert_eq!((status.queued(), status.in_flight()), (0, 0), "{status:?}");
        assert!(
            self.state.take_decisions().is_empty(),
            "unexpected decision"
        );
    }

    fn request_grant(&mut self, parameters: &RequestParameters) {
        let (tier, floor_percent) = CLASSES[usize::from(parameters.class)];
        let mut grant_request = request("r");
        grant_request.entry = format!("entry-{}", parameters.entry);
        grant_request.class = format!("class-{}", parameters.class);
        grant_request.workspace = format!("workspace-{}", parameters.workspace);
        grant_request.tier = tier;
        grant_request.floor_percent = floor_percent;
        grant_request.target_left = Duration::from_millis(parameters.target.into());
        grant_request.timeout_left = Duration::from_millis(parameters.timeout.into());
        grant_request.late_is_useful = parameters.late_is_useful;
        grant_request.max_tokens = Some(u64::from(parameters.tokens) * 16);
        grant_request.excluded = parameters.excluded.map(server_name).into_iter().collect();
        let ticket = self.state.request_grant(grant_request.clone(), self.now);
        assert!(
            self.queued.insert(ticket, grant_request).is_none(),
            "duplicate ticket"
        );
    }

    fn release(&mut self, pick: u8, outcome: u8) {
        if self.granted.is_empty() {
            return;
        }
        let index = usize::from(pick) % self.granted.len();
        let (&grant, _) = self
            .granted
            .get_index(index)
            .expect("the index is in range");
        let mut release = release(grant);
        release.tokens = u64::from(outcome) * 8;
        release.elapsed = Duration::from_millis(u64::from(outcome) * 50);
        release.outcome = match outcome % 6 {
            0 => AttemptOutcome::NotRun,
            1 => AttemptOutcome::Failed,
            2 => AttemptOutcome::Unknown,
            3 => AttemptOutcome::Cancelled,
            _ => AttemptOutcome::Completed,
        };
        release.leaving = outcome > 240;
        let record = self.granted.swap_remove(&grant);
        if release.leaving {
            self.marked.extend(record.map(|record| record.server));
        }
        self.state.release(&release, self.now);
    }

    /// Withdraws all requests of one entry, which share one request name.
    fn withdraw(&mut self, entry: u8) {
        let entry = format!("entry-{}", entry % 2);
        self.granted.retain(|_, grant| grant.request.entry != entry);
        let tickets = self.state.withdraw(&"r".into(), &entry, 1, self.now);
        self.remove_requests(&entry, &tickets);
    }

    fn forget_entry(&mut self, entry: u8) {
        let entry = format!("entry-{}", entry % 2);
        self.granted.retain(|_, grant| grant.request.entry != entry);
        let tickets = self.state.forget_entry(&entry, 1, self.now);
        self.remove_requests(&entry, &tickets);
    }

    fn remove_requests(&mut self, entry: &str, tickets: &[GrantId]) {
        let mut expected = self.queued.clone();
        expected.retain(|_, request| request.entry == entry);
        assert_eq!(
            tickets.len(),
            expected.len(),
            "all requests of the entry are removed"
        );
        for ticket in tickets {
            assert!(
                expected.contains_key(ticket),
                "a request of another entry is removed"
            );
            self.queued.swap_remove(ticket);
        }
    }

    fn report(&mut self, server: u8, running: u8, leaving: bool) {
        let report = ServerReport {
            server: server_name(server % SERVER_COUNT),
            running: u32::from(running % 4),
            leaving,
            ..ServerReport::default()
        };
        if let Some(record) = self.servers.get_mut(&report.server) {
            record.is_reported_leaving = leaving;
        }
        self.state.report(&report, self.now);
    }

    fn configure_from_bits(&mut self, slots: u8, drained: u8) {
        let slots = (0..4).map(|index| u32::from(slots >> (2 * index) & 3));
        let mut rows = servers(&slots.collect::<Vec<_>>());
        for (index, row) in rows.iter_mut().enumerate() {
            row.drain = drained >> index & 1 == 1;
        }
        // The upper bits remove servers from the table.
        let mut index = 4;
        rows.retain(|_| {
            index += 1;
            drained >> (index - 1) & 1 == 0
        });
        self.configure(rows);
    }

    fn configure(&mut self, rows: Vec<ServerRow>) {
        self.revision += 1;
        let old = std::mem::take(&mut self.servers);
        for row in &rows {
            let known = old.get(&row.name);
            let record = ModelServer {
                slots: row.slots,
                is_drained: row.drain,
                is_reported_leaving: known.is_some_and(|known| known.is_reported_leaving),
            };
            self.servers.insert(row.name.clone(), record);
        }
        let mut config = config(self.revision, rows);
        config.pools.rows[POOL].retry_percent = 100;
        self.state.configure(&config, self.now);
    }

    fn mark(&mut self, server: u8, leaving: bool) {
        let server = server_name(server % SERVER_COUNT);
        let mark = match leaving {
            true => ServerMark::Leaving,
            false => ServerMark::Live,
        };
        match leaving {
            true => self.marked.insert(server.clone()),
            false => self.marked.swap_remove(&server),
        };
        self.state.mark(&server, mark, self.now);
    }

    fn wait(&mut self, time: Duration) {
        self.now += time;
        let now = self.now;
        self.granted.retain(|_, grant| grant.expires_at > now);
        self.state.advance(now);
        let wakeup = self.state.next_wakeup();
        assert!(
            wakeup.is_none_or(|wakeup| wakeup > now),
            "an event is still due"
        );
    }

    fn check(&mut self) {
        for decision in self.state.take_decisions() {
            let request = self.queued.swap_remove(&decision.ticket);
            let request = request.expect("a request is decided once, and only if it was made");
            match &decision.decision {
                GrantDecision::Granted(grant) => self.check_grant(request, grant, &decision),
                GrantDecision::Refused(refusal) => {
                    let is_timeout = refusal.reason == RefusalReason::TimedOut;
                    assert!(
                        !is_timeout || decision.waited >= request.timeout_left,
                        "a request is refused before its timeout",
                    );
                    self.check_refusal(&request, refusal);
                }
            }
        }
        let status = self.state.status();
        assert_eq!(
            status.in_flight() as usize,
            self.granted.len(),
            "active grants"
        );
        assert_eq!(status.queued(), self.queued.len(), "queued requests");
        assert!(self.queued.len() <= QUEUE_LIMIT, "the queue is bounded");
        if self
            .queued
            .values()
            .any(|request| request.excluded.is_empty())
        {
            let servers = status.pools.iter().flat_map(|pool| &pool.servers);
            let mut active = servers.filter(|server| server.state == ServerState::Active);
            assert!(
                active.all(|server| server.in_flight >= server.slots),
                "a server has free slots while requests are queued: {status:?}",
            );
        }
    }

    fn check_grant(&mut self, request: GrantRequest, grant: &Grant, decision: &TicketDecision) {
        let server = self
            .servers
            .get(&grant.server)
            .expect("the server is in the table");
        let in_flight = self
            .granted
            .values()
            .filter(|other| other.server == grant.server);
        let slots = ShareDivisor::new(self.share).share_of(server.slots);
        assert!(
            (in_flight.count() as u32) < slots,
            "a server has more grants than slots"
        );
        assert!(!server.is_drained, "a drained server gets new work");
        assert!(
            !server.is_reported_leaving,
            "a leaving server gets new work"
        );
        assert!(
            !self.marked.contains(&grant.server),
            "a marked server gets new work"
        );
        assert!(
            !request.excluded.contains(&grant.server),
            "an excluded server is chosen"
        );
        let mut others = self.queued.values();
        let is_higher =
            |other: &GrantRequest| other.tier < request.tier && other.excluded.is_empty();
        assert!(
            decision.turn == Some(ServiceTurn::Floor) || !others.any(is_higher),
            "a lower tier is served first without its floor",
        );
        assert!(
            decision.waited < request.timeout_left,
            "granted after its timeout"
        );
        assert!(
            request.late_is_useful || decision.waited < request.target_left,
            "granted after its target",
        );
        let valid_for =
            Duration::from_secs(2) + request.timeout_left.saturating_sub(decision.waited);
        let record = ModelGrant {
            server: grant.server.clone(),
            expires_at: self.now + valid_for,
            request,
        };
        self.granted.insert(grant.id, record);
    }

    fn check_refusal(&mut self, request: &GrantRequest, refusal: &Refusal) {
        assert!(refusal.retry_after > Duration::ZERO, "no retry delay");
        assert!(
            self.retry_times.insert(refusal.retry_after),
            "the same retry delay twice"
        );
        assert!(
            refusal.reason != RefusalReason::TargetMissed || !request.late_is_useful,
            "a request whose late answer is useful is refused for its target",
        );
        let mut others = self.queued.values();
        assert!(
            refusal.reason != RefusalReason::QueueFull
                || others.all(|other| other.tier <= request.tier),
            "a full queue refuses a higher tier while a lower one is queued",
        );
    }
}

fn server_name(server: u8) -> ServerName {
    format!("server-{server}")
}
