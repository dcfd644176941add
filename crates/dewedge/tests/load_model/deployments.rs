//! Kinds of engine, and the traffic that the pool is loaded with.

/// Engines of one kind, from their specification.
#[derive(Clone, Copy, Debug)]
pub struct EngineKind {
    pub name: &'static str,
    pub step_ms: f64,
    pub step_ms_per_request: f64,
    pub tokens_per_ms: f64,
    pub chunk_tokens: u32,
    pub tokens_per_event: u32,
    pub slots: u32,
    pub kv_cache_tokens: u64,
    /// Time from receiving a request to reading its prompt.
    pub first_ms: u64,
    /// Relative durations of a step; the engines take turns.
    pub speeds: [f64; 3],
}

impl EngineKind {
    fn saturated_gap_ms(&self) -> f64 {
        let chunk_ms = f64::from(self.chunk_tokens) / self.tokens_per_ms;
        f64::from(self.tokens_per_event) * (chunk_ms + self.step_ms)
    }
}

pub const NEWS_ENGINES: EngineKind = EngineKind {
    name: "news",
    step_ms: 3.79,
    step_ms_per_request: 0.0893,
    tokens_per_ms: 56.6,
    chunk_tokens: 4096,
    tokens_per_event: 4,
    slots: 64,
    kv_cache_tokens: 500_000,
    first_ms: 0,
    speeds: [1.0, 1.0, 1.0],
};

pub const CASTING_ENGINES: EngineKind = EngineKind {
    name: "casting",
    tokens_per_event: 5,
    slots: 24,
    kv_cache_tokens: 294_692,
    first_ms: 40,
    ..NEWS_ENGINES
};

pub const ENROLMENT_ENGINES: EngineKind = EngineKind {
    name: "enrolment",
    step_ms: 4.55,
    step_ms_per_request: 0.181,
    tokens_per_ms: 61.4,
    tokens_per_event: 3,
    first_ms: 90,
    speeds: [1.0, 1.0, 1.3],
    ..NEWS_ENGINES
};

/// The engines of a pool whose machines differ in speed.
pub const UNEVEN_ENGINES: EngineKind = EngineKind {
    name: "uneven",
    speeds: [0.6, 1.0, 1.6],
    ..NEWS_ENGINES
};

/// Traffic of one class, from its specification.
#[derive(Clone, Copy)]
pub struct ClassSpec {
    pub priority: u8,
    pub per_second: f64,
    pub first_part: u32,
    pub first_parts: u64,
    pub session_part: u32,
    pub sessions: u64,
    pub own_part: u32,
    pub output: u32,
    pub target_ms: u64,
    pub event_gap_ms: u64,
    pub deadline_ms: u64,
}

pub const NEWS_CLASSES: [ClassSpec; 3] = [
    ClassSpec {
        priority: 0,
        per_second: 24.0,
        first_part: 103,
        first_parts: 8,
        session_part: 69,
        sessions: 184,
        own_part: 543,
        output: 280,
        target_ms: 1000,
        event_gap_ms: 300,
        deadline_ms: 15_000,
    },
    ClassSpec {
        priority: 1,
        per_second: 40.0,
        first_part: 341,
        first_parts: 40,
        session_part: 227,
        sessions: 248,
        own_part: 1800,
        output: 24,
        target_ms: 1000,
        event_gap_ms: 500,
        deadline_ms: 3000,
    },
    ClassSpec {
        priority: 2,
        per_second: 80.0,
        first_part: 2520,
        first_parts: 4,
        session_part: 3780,
        sessions: 352,
        own_part: 2890,
        output: 52,
        target_ms: 1500,
        event_gap_ms: 1200,
        deadline_ms: 5000,
    },
];

/// As those of the news, with tighter gap targets for the streams.
pub const UNEVEN_CLASSES: [ClassSpec; 3] = [
    ClassSpec {
        event_gap_ms: 200,
        ..NEWS_CLASSES[0]
    },
    NEWS_CLASSES[1],
    NEWS_CLASSES[2],
];

pub const ENROLMENT_CLASSES: [ClassSpec; 3] = [
    ClassSpec {
        priority: 0,
        per_second: 22.0,
        first_part: 210,
        first_parts: 8,
        session_part: 140,
        sessions: 148,
        own_part: 1110,
        output: 171,
        target_ms: 500,
        event_gap_ms: 250,
        deadline_ms: 12_000,
    },
    ClassSpec {
        priority: 1,
        per_second: 10.0,
        first_part: 2520,
        first_parts: 4,
        session_part: 3780,
        sessions: 46,
        own_part: 2890,
        output: 51,
        target_ms: 800,
        event_gap_ms: 400,
        deadline_ms: 6000,
    },
    ClassSpec {
        priority: 2,
        per_second: 20.0,
        first_part: 3300,
        first_parts: 8,
        session_part: 10_000,
        sessions: 66,
        own_part: 3720,
        output: 120,
        target_ms: 2500,
        event_gap_ms: 1000,
        deadline_ms: 12_000,
    },
];

/// Engines and their traffic.
#[derive(Clone, Copy)]
pub struct Deployment {
    pub kind: EngineKind,
    pub classes: [ClassSpec; 3],
}

pub const NEWS: Deployment = Deployment {
    kind: NEWS_ENGINES,
    classes: NEWS_CLASSES,
};

pub const UNEVEN: Deployment = Deployment {
    kind: UNEVEN_ENGINES,
    classes: UNEVEN_CLASSES,
};

pub const CASTING: Deployment = Deployment {
    kind: CASTING_ENGINES,
    classes: NEWS_CLASSES,
};

pub const ENROLMENT: Deployment = Deployment {
    kind: ENROLMENT_ENGINES,
    classes: ENROLMENT_CLASSES,
};

/// Draws a kind of engine, and traffic that loads it like the specified ones:
/// streams whose gap target full chunks would exceed, and two classes of longer
/// prompts whose targets they don't exceed.
pub fn random_deployment(seed: u64) -> Deployment {
    let mut random = RandomSource::new(seed * 7 + 3);
    let mut draw = |low: f64, high: f64| low + (high - low) * random.next();
    let kind = EngineKind {
        name: "random",
        step_ms: draw(2.5, 7.0),
        step_ms_per_request: draw(0.05, 0.2),
        tokens_per_ms: draw(40.0, 90.0),
        chunk_tokens: draw(3000.0, 6000.0) as u32,
        tokens_per_event: draw(2.0, 7.0) as u32,
        slots: draw(32.0, 64.0) as u32,
        first_ms: draw(0.0, 100.0) as u64,
        speeds: [1.0, 1.0, draw(1.0, 1.3)],
        ..NEWS_ENGINES
    };
    let speed = kind.tokens_per_ms / NEWS_ENGINES.tokens_per_ms;
    let gap_ms = kind.saturated_gap_ms();
    let classes = [(0, 0.85), (1, 1.7), (2, 3.4)].map(|(index, gap_share)| {
        let spec: ClassSpec = NEWS_CLASSES[index];
        ClassSpec {
            per_second: spec.per_second * speed,
            event_gap_ms: (gap_ms * gap_share) as u64,
            target_ms: spec.target_ms + kind.first_ms,
            deadline_ms: spec.deadline_ms * 2,
            ..spec
        }
    });
    Deployment { kind, classes }
}

/// Load of the least urgent class, relative to its specified rate.
#[derive(Clone, Copy)]
pub struct BurstPlan {
    pub baseline: f64,
    pub burst: f64,
    /// Start and end of the burst, in ms.
    pub span: (u64, u64),
}

/// A long burst up to the specified rate.
pub const LONG_BURST: BurstPlan = BurstPlan {
    baseline: 0.45,
    burst: 1.0,
    span: (2000, 11_000),
};

/// A short burst beyond the prefill rate of the engines. The load around it
/// takes two thirds of that rate if no shared part is read twice.
pub const STEEP_BURST: BurstPlan = BurstPlan {
    baseline: 1.0,
    burst: 2.6,
    span: (2000, 6000),
};

/// A burst of the least urgent class at twice its rate.
pub const DOUBLE_BURST: BurstPlan = BurstPlan {
    baseline: 0.7,
    burst: 1.4,
    span: (2000, 9000),
};

/// Guards against limits that fit one kind of engine: the streams of each kind
/// Random numbers from 0 to 1, by xorshift.
pub struct RandomSource {
    pub state: u64,
}

impl RandomSource {
    pub fn new(seed: u64) -> Self {
        Self {
            state: seed * 2 + 1,
        }
    }

    pub fn next(&mut self) -> f64 {
        self.state ^= self.state << 13;
        self.state ^= self.state >> 7;
        self.state ^= self.state << 17;
        (self.state >> 11) as f64 / (1u64 << 53) as f64
    }
}
