//! Plays responses that are incomplete or break the protocol, to programs that
//! forward responses.
//!
//! The program is stopped while the last part of a response and the end of its
//! connection arrive, so that it notices both at once, whatever the load of the
//! machine.

use std::net::SocketAddr;
use std::process::Command;
use std::thread;
use std::time::Duration;

use crate::framing::{StrictClient, StrictResponse};
use crate::script::{ConnectionEnd, SOUND, ScriptedServer, TakenRequest};

/// Time in which a program fills the kernel's buffers of a connection, and in which
/// a signal or a reset takes effect.
const SETTLE_TIME: Duration = Duration::from_millis(30);

/// Length of an upload that no buffer of the kernel holds.
pub const LONG_UPLOAD: usize = 6_000_000;

/// Word in the content and the additional fields of all broken responses.
const MARK: &str = "broken";

/// Statuses that aren't three digits from 100 to 599.
pub const STATUSES: [&str; 12] = [
    "000", "001", "099", "600", "999", "20", "2000", "0200", "2x0", "+20", "-20", " 200",
];

/// Header lines whose name isn't a token, or whose value holds a control byte.
pub const LINES: [&str; 16] = [
    "X Broken: a",
    "X-Broken : a",
    "X-\tBroken: a",
    "X-\u{1}Broken: a",
    "X-Broken\u{7f}: a",
    "X-Brok\u{e9}n: a",
    "X-(Broken): a",
    ": broken",
    "Broken",
    " X-Broken: a",
    "X-Broken: a\0b",
    "X-Broken: a\u{1}b",
    "X-Broken: a\u{b}b",
    "X-Broken: a\u{7f}b",
    "X-Broken: a\rb",
    "X-Broken: a\r\n b",
];

/// Extensions of a chunk and lines of trailers, one of which is none.
const CHUNKS: [(&str, &str); 6] = [
    (";a=\u{1}", "A: b"),
    ("\0", "A: b"),
    ("", "A b: c"),
    ("", "A\u{7f}: c"),
    ("", "A: b\u{1}c"),
    ("", "A"),
];

/// A response, and how its connection ends.
#[derive(Clone, Debug)]
pub struct ResponseCase {
    /// What is special about it.
    pub name: String,
    /// Parts that the program receives one after the other, with `{fields}` for the
    /// fields that make it one of the request's.
    pub parts: Vec<String>,
    /// The end of the connection, which the program notices together with the last
    /// part.
    pub end: ConnectionEnd,
}

impl ResponseCase {
    /// Returns a response in one part.
    #[must_use]
    pub fn new(name: impl Into<String>, part: impl Into<String>, end: ConnectionEnd) -> Self {
        Self {
            name: name.into(),
            parts: vec![part.into()],
            end,
        }
    }
}

/// A system whose program forwards requests to a server.
pub trait ForwardingSystem {
    /// Returns the server.
    fn server(&self) -> &ScriptedServer;

    /// Returns the address for callers.
    fn entry(&self) -> SocketAddr;

    /// Returns the id of the process.
    fn pid(&self) -> u32;

    /// Returns the fields that make a response one of the request's.
    fn response_fields(&self, request: &TakenRequest) -> String;

    /// Returns the head of a request without its framing.
    fn request_head(&self, form: &RequestForm, attempt: &str) -> String;
}

/// How a request is sent.
#[derive(Clone, Copy, Debug)]
pub struct RequestForm {
    /// Method.
    pub method: &'static str,
    /// Path up to the first segment.
    pub route: &'static str,
    /// Length of the content.
    pub upload: usize,
    /// Whether the content is sent in a chunk.
    pub is_chunked: bool,
    /// Whether the connections of the caller and of the server were used before.
    pub is_kept: bool,
}

impl RequestForm {
    /// Returns short and long uploads of each method for the routes.
    #[must_use]
    pub fn all(routes: &[&'static str]) -> Vec<Self> {
        let contents = [
            ("POST", LONG_UPLOAD),
            ("POST", 2),
            ("GET", 0),
            ("GET", LONG_UPLOAD),
            ("HEAD", 0),
            ("HEAD", LONG_UPLOAD),
        ];
        let forms = routes.iter().enumerate().flat_map(|(number, route)| {
            contents.map(|(method, upload)| Self {
                method,
                route,
                upload,
                is_chunked: upload > 0 && (number % 2 == 1) == (method == "POST"),
                is_kept: (number % 2 == 1) != (method == "GET"),
            })
        });
        forms.collect()
    }

    fn bytes(self, system: &impl ForwardingSystem, attempt: &str) -> Vec<u8> {
        let head = system.request_head(&self, attempt);
        let content = "x".repeat(self.upload);
        let rest = match self.is_chunked {
            true => format!(
                "Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{content}\r\n0\r\n\r\n",
                self.upload
            ),
            false => format!("Content-Length: {}\r\n\r\n{content}", self.upload),
        };
        (head + &rest).into_bytes()
    }

    fn short(self) -> Self {
        Self {
            upload: 2,
            is_chunked: false,
            ..self
        }
    }

    /// Plays a response; returns what the caller received, and the next response on
    /// its connection if that stays open.
    ///
    /// # Panics
    ///
    /// Panics if the program doesn't forward the request, or breaks the protocol in
    /// the next response.
    pub fn play(
        self,
        system: &impl ForwardingSystem,
        case: &ResponseCase,
    ) -> (Result<StrictResponse, String>, Option<StrictResponse>) {
        let server = system.server();
        let mut client = StrictClient::open(system.entry()).expect("the program listens");
        if self.is_kept {
            client.send(&self.short().bytes(system, "first"));
            client.read(self.method).expect("the server is sound");
        }
        server.take_next();
        client.send(&self.bytes(system, "second"));
        let mut request = server.take();
        let fields = system.response_fields(&request);
        for (index, part) in case.parts.iter().enumerate() {
            thread::sleep(SETTLE_TIME);
            if index + 1 == case.parts.len() {
                signal(system.pid(), "STOP");
                thread::sleep(SETTLE_TIME);
            }
            let part = part.replace("{fields}", &fields);
            // The program may have closed the connection after the part before.
            let _ = request.send(part.as_bytes());
        }
        let end = case.end;
        // An orderly end waits for the program.
        let ending = thread::spawn(move || request.end(end));
        thread::sleep(SETTLE_TIME);
        signal(system.pid(), "CONT");
        let response = client.read(self.method);
        let mut next = None;
        if response.as_ref().is_ok_and(|response| !response.closes()) {
            client.send(&self.short().bytes(system, "third"));
            next = Some(
                client
                    .read(self.method)
                    .expect("the next response is framed"),
            );
        }
        // The program may have closed the connection.
        let _ = ending.join().expect("the server ends the connection");
        (response, next)
    }

    /// Returns what is wrong with what a caller received although the server's
    /// response was broken, or with the next response.
    pub fn faults(self, system: &impl ForwardingSystem, case: &ResponseCase) -> Vec<String> {
        let (response, next) = self.play(system, case);
        // An incomplete response or a closed connection shows the caller the failure.
        let received = response.ok().into_iter().chain(next);
        let wrong = received.filter(|response| !self.accepts(response));
        let name = &case.name;
        wrong
            .map(|response| format!("{name}, {self:?}: {response:?}"))
            .collect()
    }

    fn accepts(&self, response: &StrictResponse) -> bool {
        let fields = format!("{:?}", response.fields).to_lowercase();
        let content = String::from_utf8_lossy(&response.content);
        match response.status {
            _ if fields.contains(MARK) => false,
            // A broken stream may go on with sound events.
            200 => self.method == "HEAD" || content.trim_end().ends_with(SOUND),
            status => [502, 503, 504].contains(&status) && !content.contains(MARK),
        }
    }
}

fn signal(pid: u32, name: &str) {
    let sent = Command::new("kill")
        .args(["-s", name, &pid.to_string()])
        .status();
    assert!(sent.is_ok_and(|status| status.success()), "{name} {pid}");
}

/// Plays the cases on requests of these forms, with a system of its own for each
/// case; returns what went wrong.
///
/// # Panics
///
/// Panics if a program doesn't serve sound requests.
pub fn play_all<S: ForwardingSystem>(
    start: impl Fn() -> S + Sync,
    forms: &[RequestForm],
    cases: &[ResponseCase],
) -> Vec<String> {
    let pairs: Vec<_> = forms
        .iter()
        .flat_map(|form| cases.iter().map(move |case| (form, case)))
        .collect();
    let share = pairs.len().div_ceil(PARALLEL_SYSTEMS);
    let play_some = |pairs: &[(&RequestForm, &ResponseCase)]| -> Vec<String> {
        let faults = pairs
            .iter()
            .flat_map(|(form, case)| form.faults(&start(), case));
        faults.collect()
    };
    thread::scope(|scope| {
        let runs: Vec<_> = pairs
            .chunks(share)
            .map(|pairs| scope.spawn(|| play_some(pairs)))
            .collect();
        let faults = runs
            .into_iter()
            .map(|run| run.join().expect("it is played"));
        faults.flatten().collect()
    })
}

/// Number of systems that run at a time.
const PARALLEL_SYSTEMS: usize = 4;

/// Plays responses without a length, whose connections end in different ways, on
/// requests for these routes; returns what went wrong.
///
/// # Panics
///
/// Panics if a program doesn't serve sound requests.
pub fn play_unframed<S: ForwardingSystem>(
    start: impl Fn() -> S + Sync,
    routes: &[&'static str],
) -> Vec<String> {
    let head = "HTTP/1.1 200 X\r\n{fields}\r\nContent-Type: text/event-stream\r\n\r\n";
    let event = format!("{head}id: 1\ndata: broken\n\n");
    let reset = ConnectionEnd::Reset;
    let closed = ConnectionEnd::CloseAndReset(Duration::ZERO);
    let cases = [
        ResponseCase::new("reset", &event, reset),
        ResponseCase::new("reset within an event", format!("{event}id: 2\nda"), reset),
        ResponseCase::new("closed, then reset", &event, closed),
        ResponseCase::new("reset before the content", head, reset),
        ResponseCase {
            name: "reset after a part".into(),
            parts: vec![event.clone(), "id: 2\ndata: broken\n\n".into()],
            end: reset,
        },
    ];
    let forms = RequestForm::all(routes);
    let mut faults = play_all(&start, &forms, &cases);
    let uploads: Vec<_> = forms
        .into_iter()
        .filter(|form| form.upload == LONG_UPLOAD)
        .collect();
    let late = ConnectionEnd::CloseAndReset(4 * SETTLE_TIME);
    let late = ResponseCase::new("reset after the end was noticed", &event, late);
    faults.extend(play_all(&start, &uploads, &[late]));
    let whole = event.replace(MARK, SOUND);
    let orderly = ResponseCase::new("orderly", whole, ConnectionEnd::Orderly);
    for form in uploads {
        let (response, _) = form.play(&start(), &orderly);
        let is_sound = |response: &StrictResponse| response.status == 200 && form.accepts(response);
        if !response.as_ref().is_ok_and(is_sound) {
            faults.push(format!("orderly, {form:?}: {response:?}"));
        }
    }
    faults
}

/// Responses whose heads, chunk lines or trailers break the protocol.
#[must_use]
pub fn malformed_cases() -> Vec<ResponseCase> {
    let mut cases = Vec::new();
    let mut add = |name: String, response: String| {
        cases.push(ResponseCase::new(name, response, ConnectionEnd::Open));
    };
    let sound = "HTTP/1.1 200 X\r\n{fields}\r\nContent-Length: 6\r\n\r\nbroken";
    for status in STATUSES {
        let response = sound.replace("200", status);
        add(format!("status {status:?}"), response);
    }
    for status in ["000", "099", "101"] {
        let interim = format!("HTTP/1.1 {status} X\r\n\r\n{sound}");
        add(format!("interim status {status}"), interim);
    }
    for line in LINES {
        let response = sound.replace("Content", &format!("{line}\r\nContent"));
        add(format!("line {line:?}"), response);
        let interim = format!("HTTP/1.1 103 X\r\n{line}\r\n\r\n{sound}");
        add(format!("interim line {line:?}"), interim);
    }
    for (extension, trailer) in CHUNKS {
        let head = "HTTP/1.1 200 X\r\n{fields}\r\nTransfer-Encoding: chunked\r\n\r\n";
        let chunks = format!("6{extension}\r\nbroken\r\n0\r\n{trailer}\r\n\r\n");
        let name = format!("chunk {extension:?}, trailer {trailer:?}");
        add(name, format!("{head}{chunks}"));
    }
    cases
}

/// Returns responses to a call with this status and content, each with whether it is
/// complete and keeps to the protocol.
#[must_use]
pub fn call_cases(status: u16, content: &str) -> Vec<(ResponseCase, bool)> {
    let length = content.len();
    let head = format!("HTTP/1.1 {status} X\r\n");
    let sound = format!("{head}Content-Length: {length}\r\n\r\n{content}");
    let chunked = |extension: &str, trailer: &str| {
        format!(
            "{head}Transfer-Encoding: chunked\r\n\r\n{length:x}{extension}\r\n{content}\r\n0\r\n\
             {trailer}\r\n\r\n"
        )
    };
    let line = |line: &str| sound.replace("Content", &format!("{line}\r\nContent"));
    let longer = sound.replace(&format!(": {length}"), &format!(": {}", length + 5));
    let (orderly, reset) = (ConnectionEnd::Orderly, ConnectionEnd::Reset);
    let cases = [
        ("length", sound.clone(), orderly, true),
        (
            "interim",
            format!("HTTP/1.1 103 X\r\n\r\n{sound}"),
            orderly,
            true,
        ),
        ("chunks", chunked(";a=b", "A: b"), orderly, true),
        ("unframed", format!("{head}\r\n{content}"), orderly, true),
        (
            "unframed, reset",
            format!("{head}\r\n{content}"),
            reset,
            false,
        ),
        ("cut off", longer, orderly, false),
        (
            "cut off chunks",
            chunked("", "A: b").replace("\r\n0\r\n", "\r\n"),
            orderly,
            false,
        ),
        ("cut off head", format!("{head}Content-Le"), orderly, false),
        (
            "interim only",
            "HTTP/1.1 103 X\r\n\r\n".into(),
            orderly,
            false,
        ),
        (
            "interim 000",
            format!("HTTP/1.1 000 X\r\n\r\n{sound}"),
            orderly,
            false,
        ),
        (
            "status 000",
            sound.replacen(&status.to_string(), "000", 1),
            orderly,
            false,
        ),
        (
            "status 600",
            sound.replacen(&status.to_string(), "600", 1),
            orderly,
            false,
        ),
        ("name", line("A b: c"), orderly, false),
        ("value", line("A: b\u{1}c"), orderly, false),
        ("two lengths", line("Content-Length: 1"), orderly, false),
        (
            "length and chunks",
            line("Transfer-Encoding: chunked"),
            orderly,
            false,
        ),
        ("signed length", sound.replace(": ", ": +"), orderly, false),
        ("extension", chunked(";a=\u{1}", "A: b"), orderly, false),
        ("trailer", chunked("", "A b: c"), orderly, false),
    ];
    let case = |(name, response, end, is_whole)| (ResponseCase::new(name, response, end), is_whole);
    cases.map(case).into()
}
