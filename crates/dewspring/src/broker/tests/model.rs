//! Random events, and a broker beside a record of what it may do.

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

/// Servers that the events speak of.
const SERVER_COUNT: u8 = 4;
/// Requests that may wait, few enough that room must be made.
const QUEUE_LIMIT: usize = 6;
/// Tier and floor of each class.
const CLASSES: [(TierLevel, u8); 5] = [(0, 0), (1, 10), (1, 0), (2, 30), (4, 5)];

/// One thing that happens to a broker.
#[derive(Clone, Debug)]
pub(super) enum Event {
    Ask(Question),
    Release(u8, u8),
    Withdraw(u8),
    Report(u8, u8, bool),
    Configure(u8, u8),
    Mark(u8, bool),
    ForgetEntry(u8),
    SetShare(u8),
    Wait(u16),
}

/// What varies between questions.
#[derive(Clone, Debug)]
pub(super) struct Question {
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
            0..=8 => Self::Ask(Question::arbitrary(generator)),
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

impl Arbitrary for Question {
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

/// What the record knows of a server.
#[derive(Debug)]
struct ServerRecord {
    slots: u32,
    is_drained: bool,
    is_reported_leaving: bool,
}

/// A grant that is out, as the record knows it.
#[derive(Debug)]
struct GrantedRecord {
    request: GrantRequest,
    server: ServerName,
    expires_at: Instant,
}

/// A broker beside the record of what it was asked and what it said.
pub(super) struct BrokerModel {
    state: BrokerState,
    now: Instant,
    revision: u64,
    share: u32,
    servers: IndexMap<ServerName, ServerRecord>,
    marked: IndexSet<ServerName>,
    queued: IndexMap<GrantId, GrantRequest>,
    granted: IndexMap<GrantId, GrantedRecord>,
    retry_times: IndexSet<Duration>,
}

impl BrokerModel {
    /// Starts with four servers of two slots.
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

    /// Lets one thing happen and checks what the broker says.
    pub(super) fn apply(&mut self, event: &Event) {
        match event {
            Event::Ask(question) => self.ask(question),
            Event::Release(pick, outcome) => self.release(*pick, *outcome),
            Event::Withdraw(pick) => self.withdraw(*pick),
            Event::Report(server, running, leaving) => self.report(*server, *running, *leaving),
            Event::Configure(slots, drained) => self.configure_bits(*slots, *drained),
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

    /// Waits and releases until nothing is left, and checks that nothing is.
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
            "a decision too many"
        );
    }

    fn ask(&mut self, question: &Question) {
        let (tier, floor_percent) = CLASSES[usize::from(question.class)];
        let mut asked = request("r");
        asked.entry = format!("entry-{}", question.entry);
        asked.class = format!("class-{}", question.class);
        asked.workspace = format!("workspace-{}", question.workspace);
        asked.tier = tier;
        asked.floor_percent = floor_percent;
        asked.target_left = Duration::from_millis(question.target.into());
        asked.timeout_left = Duration::from_millis(question.timeout.into());
        asked.late_is_useful = question.late_is_useful;
        asked.max_tokens = Some(u64::from(question.tokens) * 16);
        asked.excluded = question.excluded.map(server_name).into_iter().collect();
        let ticket = self.state.request_grant(asked.clone(), self.now);
        assert!(
            self.queued.insert(ticket, asked).is_none(),
            "a ticket twice"
        );
    }

    fn release(&mut self, pick: u8, outcome: u8) {
        if self.granted.is_empty() {
            return;
        }
        let index = usize::from(pick) % self.granted.len();
        let (&grant, _) = self.granted.get_index(index).expect("it is in range");
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

    /// Withdraws every request of one entry, since they share their name.
    fn withdraw(&mut self, entry: u8) {
        let entry = format!("entry-{}", entry % 2);
        self.granted.retain(|_, grant| grant.request.entry != entry);
        let tickets = self.state.withdraw(&"r".into(), &entry, 1, self.now);
        self.forget_asked(&entry, &tickets);
    }

    fn forget_entry(&mut self, entry: u8) {
        let entry = format!("entry-{}", entry % 2);
        self.granted.retain(|_, grant| grant.request.entry != entry);
        let tickets = self.state.forget_entry(&entry, 1, self.now);
        self.forget_asked(&entry, &tickets);
    }

    fn forget_asked(&mut self, entry: &str, tickets: &[GrantId]) {
        let mut expected = self.queued.clone();
        expected.retain(|_, request| request.entry == entry);
        assert_eq!(
            tickets.len(),
            expected.len(),
            "all that the entry asked is dropped"
        );
        for ticket in tickets {
            assert!(
                expected.contains_key(ticket),
                "another entry's request is dropped"
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

    fn configure_bits(&mut self, slots: u8, drained: u8) {
        let slots = (0..4).map(|index| u32::from(slots >> (2 * index) & 3));
        let mut rows = servers(&slots.collect::<Vec<_>>());
        for (index, row) in rows.iter_mut().enumerate() {
            row.drain = drained >> index & 1 == 1;
        }
        // The upper bits take servers out of the table altogether.
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
            let record = ServerRecord {
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
            "something due is left"
        );
    }

    fn check(&mut self) {
        for decision in self.state.take_decisions() {
            let request = self.queued.swap_remove(&decision.ticket);
            let request = request.expect("a request is answered once, and only if it was asked");
            match &decision.decision {
                GrantDecision::Granted(grant) => self.check_grant(request, grant, &decision),
                GrantDecision::Refused(refusal) => {
                    let is_timeout = refusal.reason == RefusalReason::TimedOut;
                    assert!(
                        !is_timeout || decision.waited >= request.timeout_left,
                        "a request is given up before its timeout",
                    );
                    self.check_refusal(&request, refusal);
                }
            }
        }
        let status = self.state.status();
        assert_eq!(
            status.in_flight() as usize,
            self.granted.len(),
            "grants that are out"
        );
        assert_eq!(status.queued(), self.queued.len(), "requests that wait");
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
                "a server is idle while requests wait: {status:?}",
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
            "a lower tier goes first without its floor",
        );
        assert!(
            decision.waited < request.timeout_left,
            "granted after its timeout"
        );
        assert!(
            request.late_is_useful || decision.waited < request.target_left,
            "granted after its target",
        );
        let hold = Duration::from_secs(2) + request.timeout_left.saturating_sub(decision.waited);
        let record = GrantedRecord {
            server: grant.server.clone(),
            expires_at: self.now + hold,
            request,
        };
        self.granted.insert(grant.id, record);
    }

    fn check_refusal(&mut self, request: &GrantRequest, refusal: &Refusal) {
        assert!(
            refusal.retry_after > Duration::ZERO,
            "no time to come back after"
        );
        assert!(
            self.retry_times.insert(refusal.retry_after),
            "the same time twice"
        );
        assert!(
            refusal.reason != RefusalReason::TargetMissed || !request.late_is_useful,
            "a request whose late answer is useful is refused for its target",
        );
        let mut others = self.queued.values();
        assert!(
            refusal.reason != RefusalReason::QueueFull
                || others.all(|other| other.tier <= request.tier),
            "a higher tier is refused for room while a lower one waits",
        );
    }
}

fn server_name(server: u8) -> ServerName {
    format!("server-{server}")
}
