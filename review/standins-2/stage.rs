//! Stand-ins for the store, the servers and the clients of a small deployment, and
//! the start of `dewnode` on loopback. Only the standard library is used.
#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap};
use std::fmt::Write as _;
use std::fs;
use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Exit status of a case whose rule was broken.
pub const BROKEN: i32 = 1;
/// Exit status of a case that couldn't run.
pub const UNABLE: i32 = 2;

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|error| error.into_inner())
}

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn sleep_ms(millis: u64) {
    thread::sleep(ms(millis));
}

/// Whether the disruption of the case is played.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

// ---------------------------------------------------------------- record

/// The file `record.txt` of a case, with the time since its start in each line.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<fs::File>>,
    start: Instant,
}

impl Record {
    pub fn create() -> Self {
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".to_string());
        let file =
            fs::File::create(&path).unwrap_or_else(|error| unable(&format!("{path}: {error}")));
        Self {
            file: Arc::new(Mutex::new(file)),
            start: Instant::now(),
        }
    }

    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_millis();
        // The record is a courtesy; the case goes on without it.
        let _ = writeln!(lock(&self.file), "{at:>6} ms  {text}");
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

/// All processes that the case started.
static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// Ends all processes that the case started, and the case.
pub fn end(status: i32) -> ! {
    for child in lock(&CHILDREN).iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
    std::process::exit(status);
}

/// Ends the case because it can't run.
pub fn unable(reason: &str) -> ! {
    let text = format!("the case can't run: {reason}");
    eprintln!("{text}");
    let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".to_string());
    if let Ok(mut file) = fs::OpenOptions::new().append(true).open(path) {
        let _ = writeln!(file, "{text}");
    }
    end(UNABLE);
}

// ---------------------------------------------------------------- JSON

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Self> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = parse_json(bytes, &mut at)?;
        Some(value)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Self::Table(fields) => fields
                .iter()
                .find(|(key, _)| key == name)
                .map(|(_, value)| value),
            _ => None,
        }
    }

    pub fn list(&self, name: &str) -> &[Json] {
        match self.get(name) {
            Some(Self::List(items)) => items,
            _ => &[],
        }
    }

    pub fn text(&self, name: &str) -> String {
        match self.get(name) {
            Some(Self::Text(text)) => text.clone(),
            _ => String::new(),
        }
    }

    pub fn number(&self, name: &str) -> u64 {
        match self.get(name) {
            Some(Self::Number(number)) => *number as u64,
            _ => 0,
        }
    }
}

fn skip_space(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn parse_json(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip_space(bytes, at);
    match *bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip_space(bytes, at);
                if bytes.get(*at) == Some(&b'}') {
                    *at += 1;
                    return Some(Json::Table(fields));
                }
                let Json::Text(name) = parse_json(bytes, at)? else {
                    return None;
                };
                skip_space(bytes, at);
                (bytes.get(*at) == Some(&b':')).then_some(())?;
                *at += 1;
                fields.push((name, parse_json(bytes, at)?));
                skip_space(bytes, at);
                if bytes.get(*at) == Some(&b',') {
                    *at += 1;
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip_space(bytes, at);
                if bytes.get(*at) == Some(&b']') {
                    *at += 1;
                    return Some(Json::List(items));
                }
                items.push(parse_json(bytes, at)?);
                skip_space(bytes, at);
                if bytes.get(*at) == Some(&b',') {
                    *at += 1;
                }
            }
        }
        b'"' => {
            *at += 1;
            let mut out = Vec::new();
            loop {
                let byte = *bytes.get(*at)?;
                *at += 1;
                match byte {
                    b'"' => return String::from_utf8(out).ok().map(Json::Text),
                    b'\\' => {
                        let escaped = *bytes.get(*at)?;
                        *at += 1;
                        match escaped {
                            b'n' => out.push(b'\n'),
                            b't' => out.push(b'\t'),
                            b'r' => out.push(b'\r'),
                            b'u' => {
                                let digits = std::str::from_utf8(bytes.get(*at..*at + 4)?).ok()?;
                                let code = u32::from_str_radix(digits, 16).ok()?;
                                *at += 4;
                                let mut buffer = [0; 4];
                                let text = char::from_u32(code)?.encode_utf8(&mut buffer);
                                out.extend_from_slice(text.as_bytes());
                            }
                            other => out.push(other),
                        }
                    }
                    other => out.push(other),
                }
            }
        }
        b't' => {
            *at += 4;
            Some(Json::Bool(true))
        }
        b'f' => {
            *at += 5;
            Some(Json::Bool(false))
        }
        b'n' => {
            *at += 4;
            Some(Json::Null)
        }
        _ => {
            let start = *at;
            while bytes
                .get(*at)
                .is_some_and(|byte| byte.is_ascii_digit() || b"+-.eE".contains(byte))
            {
                *at += 1;
            }
            let text = std::str::from_utf8(&bytes[start..*at]).ok()?;
            text.parse().ok().map(Json::Number)
        }
    }
}

const BASE64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk.iter().enumerate().fold(0u32, |word, (at, byte)| {
            word | u32::from(*byte) << (16 - 8 * at)
        });
        for at in 0..4 {
            match at <= chunk.len() {
                true => out.push(char::from(BASE64[(word >> (18 - 6 * at) & 63) as usize])),
                false => out.push('='),
            }
        }
    }
    out
}

// ---------------------------------------------------------------- HTTP

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub line: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether its body is whole.
    pub complete: bool,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        let found = fields.find(|(other, _)| other.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let word = self.line.split(' ').nth(1);
        word.and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads a head; `None` if the connection ends before.
pub fn read_head(reader: &mut impl BufRead) -> Option<Message> {
    let mut line = String::new();
    let mut message = Message::default();
    loop {
        line.clear();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        if !line.ends_with('\n') {
            return None;
        }
        let text = line.trim_end();
        if message.line.is_empty() {
            message.line = text.to_string();
        } else if text.is_empty() {
            return Some(message);
        } else if let Some((name, value)) = text.split_once(':') {
            let field = (name.to_string(), value.trim().to_string());
            message.fields.push(field);
        }
    }
}

/// Reads the body of a message, by its length, its chunks, or for a response until
/// the connection ends. `see` gets the body so far after each piece.
pub fn read_body(
    reader: &mut impl BufRead,
    message: &mut Message,
    is_response: bool,
    mut see: impl FnMut(&[u8]),
) {
    let chunked = message
        .field("transfer-encoding")
        .is_some_and(|value| value.eq_ignore_ascii_case("chunked"));
    if chunked {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).unwrap_or(0) == 0 {
                return;
            }
            let Ok(size) = usize::from_str_radix(line.trim(), 16) else {
                return;
            };
            let mut piece = vec![0; size + 2];
            if reader.read_exact(&mut piece).is_err() {
                return;
            }
            if size == 0 {
                message.complete = true;
                return;
            }
            piece.truncate(size);
            message.body.extend(piece);
            see(&message.body);
        }
    }
    let length = message
        .field("content-length")
        .and_then(|value| value.parse().ok());
    match length {
        Some(length) => {
            let mut body = vec![0; length];
            message.complete = reader.read_exact(&mut body).is_ok();
            message.body = body;
        }
        None if is_response => {
            message.complete = reader.read_to_end(&mut message.body).is_ok();
        }
        None => message.complete = true,
    }
    see(&message.body);
}

// ---------------------------------------------------------------- the store

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    lease: u64,
}

#[derive(Default)]
struct StoreState {
    items: BTreeMap<String, Item>,
    changes: Vec<(u64, String)>,
    revision: u64,
    leases: HashMap<u64, (Instant, Duration)>,
    next_lease: u64,
}

/// A stand-in for the platform's store.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<StoreState>, Condvar)>,
    /// Whether it reads calls and answers none.
    is_silent: Arc<AtomicBool>,
    pub address: SocketAddr,
}

fn quote(text: &str) -> String {
    let mut out = String::from("\"");
    for character in text.chars() {
        match character {
            '"' | '\\' => {
                out.push('\\');
                out.push(character);
            }
            character if (character as u32) < 32 => {
                let _ = write!(out, "\\u{:04x}", character as u32);
            }
            character => out.push(character),
        }
    }
    out.push('"');
    out
}

fn decode_query(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() {
            let digits = std::str::from_utf8(&bytes[at + 1..at + 3]).unwrap_or("3f");
            out.push(u8::from_str_radix(digits, 16).unwrap_or(b'?'));
            at += 3;
        } else {
            out.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

impl StoreState {
    fn put(&mut self, key: &str, value: &str, lease: u64) {
        let item = Item {
            value: value.to_string(),
            revision: self.revision,
            lease,
        };
        self.items.insert(key.to_string(), item);
        self.changes.push((self.revision, key.to_string()));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.changes.push((self.revision, key.to_string()));
        }
    }

    fn expire(&mut self) -> bool {
        let now = Instant::now();
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (ends, _))| *ends <= now)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in &ended {
            self.end_lease(*lease);
        }
        !ended.is_empty()
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.remove(&key);
        }
    }

    fn row(&self, key: &str) -> String {
        match self.items.get(key) {
            Some(item) => format!(
                "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"create-rev\":{},\"lease\":{}}}",
                quote(key),
                item.value,
                item.revision,
                item.revision,
                item.lease
            ),
            None => format!("{{\"key\":{},\"revision\":0}}", quote(key)),
        }
    }

    /// Returns the changes after a revision, each key once as it is now.
    fn events(&self, prefix: &str, after: u64) -> Vec<String> {
        let mut last: BTreeMap<u64, &str> = BTreeMap::new();
        let mut seen: HashMap<&str, u64> = HashMap::new();
        for (number, (revision, key)) in self.changes.iter().enumerate() {
            if *revision > after && key.starts_with(prefix) {
                if let Some(earlier) = seen.insert(key, number as u64) {
                    last.remove(&earlier);
                }
                last.insert(number as u64, key);
            }
        }
        let event = |(number, key): (&u64, &&str)| match self.items.get(*key) {
            Some(_) => self.row(key),
            None => {
                let revision = self.changes[*number as usize].0;
                format!(
                    "{{\"key\":{},\"revision\":{revision},\"tombstone\":true}}",
                    quote(key)
                )
            }
        };
        last.iter().map(event).collect()
    }
}

impl Store {
    pub fn start() -> Self {
        let listener = listen();
        let address = address_of(&listener);
        let state = StoreState {
            revision: 100,
            next_lease: 1000,
            ..StoreState::default()
        };
        let store = Self {
            state: Arc::new((Mutex::new(state), Condvar::new())),
            is_silent: Arc::default(),
            address,
        };
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = server.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        let ticker = store.clone();
        thread::spawn(move || {
            loop {
                sleep_ms(20);
                if lock(&ticker.state.0).expire() {
                    ticker.state.1.notify_all();
                }
            }
        });
        store
    }

    /// Writes an item without a lease, as the operator or a server does.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = lock(&self.state.0);
        state.revision += 1;
        state.put(key, &base64(value.as_bytes()), 0);
        drop(state);
        self.state.1.notify_all();
    }

    pub fn remove(&self, key: &str) {
        let mut state = lock(&self.state.0);
        state.revision += 1;
        state.remove(key);
        drop(state);
        self.state.1.notify_all();
    }

    /// Lets the store answer no call, or again.
    pub fn set_silent(&self, is_silent: bool) {
        self.is_silent.store(is_silent, Ordering::SeqCst);
    }

    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = lock(&self.state.0);
        let keys = state.items.keys().filter(|key| key.starts_with(prefix));
        keys.cloned().collect()
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Some(mut request) = read_head(&mut reader) {
            read_body(&mut reader, &mut request, false, |_| {});
            let (status, body) = self.answer(&request);
            if self.is_silent.load(Ordering::SeqCst) {
                // A connection on which a response is lost returns nothing further.
                while self.is_silent.load(Ordering::SeqCst) {
                    sleep_ms(20);
                }
                return;
            }
            let head = format!(
                "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\nStore-Era: 1\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if writer.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let (path, query) = request
            .target()
            .split_once('?')
            .unwrap_or((request.target(), ""));
        let pairs: HashMap<String, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name.to_string(), decode_query(value)))
            .collect();
        let query = |name: &str| pairs.get(name).cloned().unwrap_or_default();
        let body = Json::parse(&request.text()).unwrap_or(Json::Null);
        let mut state = lock(&self.state.0);
        match path {
            "/api/kv-key" => {
                let key = query("key");
                if !state.items.contains_key(&key) {
                    return (404, "{}".to_string());
                }
                let row = state.row(&key);
                let row = row.trim_end_matches('}');
                (200, format!("{row},\"as-of\":{}}}", state.revision))
            }
            "/api/kv-range" => {
                let (prefix, after) = (query("prefix"), query("after"));
                let keys: Vec<&String> = state
                    .items
                    .keys()
                    .filter(|key| key.starts_with(&prefix) && **key > after)
                    .collect();
                let more = keys.len() > 500;
                let rows: Vec<String> = keys.iter().take(500).map(|key| state.row(key)).collect();
                let rows = rows.join(",");
                let as_of = state.revision;
                (
                    200,
                    format!("{{\"items\":[{rows}],\"more-pages\":{more},\"as-of\":{as_of}}}"),
                )
            }
            "/api/kv-watch" => {
                let (prefix, after) = (query("prefix"), query("after").parse().unwrap_or(0));
                let wait = ms(query("wait-ms").parse().unwrap_or(0));
                let until = Instant::now() + wait;
                loop {
                    let events = state.events(&prefix, after);
                    let now = Instant::now();
                    if !events.is_empty() || now >= until {
                        let (events, as_of) = (events.join(","), state.revision);
                        return (200, format!("{{\"events\":[{events}],\"as-of\":{as_of}}}"));
                    }
                    let waited = self.state.1.wait_timeout(state, until - now);
                    state = waited.map_or_else(|error| error.into_inner().0, |pair| pair.0);
                }
            }
            "/api/kv-txn" => {
                let holds = body.list("expected").iter().all(|row| {
                    let item = state.items.get(&row.text("key"));
                    item.map_or(0, |item| item.revision) == row.number("revision")
                });
                if !holds {
                    let rows = body.list("expected").iter();
                    let rows: Vec<String> = rows.map(|row| state.row(&row.text("key"))).collect();
                    return (412, format!("{{\"items\":[{}]}}", rows.join(",")));
                }
                let leases = body.list("puts").iter().map(|put| put.number("lease"));
                let mut named = leases.filter(|lease| *lease != 0);
                if named.any(|lease| !state.leases.contains_key(&lease)) {
                    return (404, "{}".to_string());
                }
                let (puts, removed) = (body.list("puts"), body.list("remove"));
                if !puts.is_empty() || !removed.is_empty() {
                    state.revision += 1;
                }
                for put in puts {
                    state.put(&put.text("key"), &put.text("value"), put.number("lease"));
                }
                for key in removed {
                    if let Json::Text(key) = key {
                        state.remove(key);
                    }
                }
                let revision = state.revision;
                drop(state);
                self.state.1.notify_all();
                (200, format!("{{\"revision\":{revision}}}"))
            }
            "/api/kv-lease" => {
                let ttl = ms(body.number("ttl-ms").clamp(1000, 600_000));
                state.next_lease += 1;
                let lease = state.next_lease;
                state.leases.insert(lease, (Instant::now() + ttl, ttl));
                (
                    200,
                    format!("{{\"lease\":{lease},\"ttl-ms\":{}}}", ttl.as_millis()),
                )
            }
            _ => {
                let id = path
                    .rsplit('/')
                    .next()
                    .and_then(|id| id.parse::<u64>().ok());
                let Some((lease, (_, ttl))) = id.and_then(|id| Some((id, *state.leases.get(&id)?)))
                else {
                    return (404, "{}".to_string());
                };
                if path.starts_with("/api/kv-keep/") {
                    state.leases.insert(lease, (Instant::now() + ttl, ttl));
                } else {
                    state.end_lease(lease);
                }
                drop(state);
                self.state.1.notify_all();
                (200, format!("{{\"ttl-ms\":{}}}", ttl.as_millis()))
            }
        }
    }
}

// ---------------------------------------------------------------- ports

pub fn listen() -> TcpListener {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap_or_else(|error| unable(&error.to_string()))
}

pub fn address_of(listener: &TcpListener) -> SocketAddr {
    listener
        .local_addr()
        .unwrap_or_else(|error| unable(&error.to_string()))
}

static NEXT_PORT: AtomicU64 = AtomicU64::new(0);

/// Returns the first of some free ports in a row, below the ports that the system
/// gives to outgoing connections.
pub fn free_ports(count: u16) -> u16 {
    // Cases that are played side by side begin at different places.
    let seed = u64::from(std::process::id()).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 40;
    for _ in 0..2000 {
        let offset = NEXT_PORT.fetch_add(u64::from(count), Ordering::SeqCst);
        let first = 20_000 + ((seed + offset) % 11_000) as u16;
        let is_free = |port: u16| {
            TcpListener::bind((Ipv4Addr::LOCALHOST, port)).is_ok()
                && UdpSocket::bind((Ipv4Addr::LOCALHOST, port)).is_ok()
        };
        if (first..first + count).all(is_free) {
            return first;
        }
    }
    unable("no free ports")
}

// ---------------------------------------------------------------- servers

/// A request that has arrived at a server, and the connection to answer it on.
pub struct Arrival<'a> {
    pub server: &'a Server,
    pub request: Message,
    pub stream: &'a mut TcpStream,
}

impl Arrival<'_> {
    pub fn attempt(&self) -> String {
        self.request
            .field("x-attempt-id")
            .unwrap_or_default()
            .to_string()
    }

    /// Answers with a length; the connection stays open.
    pub fn answer(&mut self, status: u16, more: &str, body: &str) -> bool {
        let text = format!(
            "HTTP/1.1 {status} Status\r\nX-Attempt-Id: {}\r\nX-Server-Seal: seal-{}\r\n{more}Content-Length: {}\r\n\r\n{body}",
            self.attempt(),
            self.server.id,
            body.len()
        );
        self.stream.write_all(text.as_bytes()).is_ok()
    }

    /// Sends the head of a stream in chunks.
    pub fn begin_stream(&mut self, more: &str) -> bool {
        let text = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {}\r\nX-Server-Seal: seal-{}\r\n{more}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.attempt(),
            self.server.id,
        );
        self.stream.write_all(text.as_bytes()).is_ok()
    }

    pub fn send_event(&mut self, id: u64, data: &str) -> bool {
        let event = format!("id: {id}\ndata: {data}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        self.stream.write_all(chunk.as_bytes()).is_ok()
    }

    pub fn end_stream(&mut self) -> bool {
        self.stream.write_all(b"0\r\n\r\n").is_ok()
    }
}

type Handler = Arc<dyn Fn(&mut Arrival<'_>) -> bool + Send + Sync>;

struct ServerShared {
    connections: Mutex<Vec<TcpStream>>,
    is_down: AtomicBool,
}

/// One start of a server: a replica of a service.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub service: String,
    pub version: String,
    pub address: SocketAddr,
    pub born: u64,
    shared: Arc<ServerShared>,
}

pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |time| time.as_millis() as u64)
}

impl Server {
    /// Starts a server at a free port, or again at an earlier address.
    ///
    /// `handle` returns whether the connection stays open.
    pub fn start(
        id: &str,
        service: &str,
        version: &str,
        address: Option<SocketAddr>,
        handle: impl Fn(&mut Arrival<'_>) -> bool + Send + Sync + 'static,
    ) -> Self {
        let listener = (0..100)
            .find_map(|_| {
                let port = address.map_or_else(|| free_ports(1), |address| address.port());
                let bound = TcpListener::bind((Ipv4Addr::LOCALHOST, port)).ok();
                if bound.is_none() {
                    sleep_ms(20);
                }
                bound
            })
            .unwrap_or_else(|| unable("a server's port is taken"));
        let server = Self {
            id: id.to_string(),
            service: service.to_string(),
            version: version.to_string(),
            address: address_of(&listener),
            born: unix_ms(),
            shared: Arc::new(ServerShared {
                connections: Mutex::default(),
                is_down: AtomicBool::new(false),
            }),
        };
        let handle: Handler = Arc::new(handle);
        let accepting = server.clone();
        let _ = listener.set_nonblocking(true);
        thread::spawn(move || {
            while !accepting.is_down() {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        if let Ok(copy) = stream.try_clone() {
                            lock(&accepting.shared.connections).push(copy);
                        }
                        let (server, handle) = (accepting.clone(), Arc::clone(&handle));
                        thread::spawn(move || server.serve(stream, &handle));
                    }
                    Err(_) => thread::sleep(Duration::from_micros(500)),
                }
            }
        });
        server
    }

    fn serve(&self, stream: TcpStream, handle: &Handler) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Some(mut request) = read_head(&mut reader) {
            read_body(&mut reader, &mut request, false, |_| {});
            if self.is_down() || !request.complete {
                break;
            }
            let expected = request.field("x-expect-instance");
            let is_other = expected.is_some_and(|expected| expected != self.id);
            let mut arrival = Arrival {
                server: self,
                request,
                stream: &mut writer,
            };
            let stays = match is_other {
                true => arrival.answer(421, "X-Not-Executed: 1\r\n", ""),
                false => handle(&mut arrival),
            };
            if !stays {
                break;
            }
        }
        let _ = writer.shutdown(Shutdown::Both);
    }

    pub fn is_down(&self) -> bool {
        self.shared.is_down.load(Ordering::SeqCst)
    }

    /// Ends the server as a crash does: nothing listens, all connections end.
    /// Returns whether it was running.
    pub fn crash(&self) -> bool {
        if self.shared.is_down.swap(true, Ordering::SeqCst) {
            return false;
        }
        for stream in lock(&self.shared.connections).drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        true
    }

    /// Writes the server's entry.
    pub fn register(&self, store: &Store, state: &str) {
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"z-a\",\"version\":\"{}\",\"slots\":64,\"state\":\"{state}\",\"cold-remaining-ms\":0,\"sequence\":1,\"born\":{}}}",
            self.service, self.address, self.version, self.born
        );
        store.put(&format!("servers/{}", self.id), &entry);
    }
}

// ---------------------------------------------------------------- dewnode

/// Bounds of a small deployment that the cases use.
pub const STABLE_WINDOW_MS: u64 = 3000;
pub const MEMORY_MB: u64 = 110;
pub const DRAIN_MS: u64 = 2000;
pub const CONFIG_MS: u64 = 2000;

/// A machine: one process of `dewnode`.
pub struct Node {
    pub name: String,
    /// Place among all processes of the case.
    child: usize,
    folder: PathBuf,
    pub front: SocketAddr,
    pub ready: SocketAddr,
}

/// Returns the repository's root.
pub fn root() -> PathBuf {
    PathBuf::from(std::env::var("ROOT").unwrap_or_else(|_| ".".to_string()))
}

/// Returns the command of the deploy file.
fn deployed_command() -> Vec<String> {
    let path = root().join("deploy/system.toml");
    let text =
        fs::read_to_string(&path).unwrap_or_else(|error| unable(&format!("{path:?}: {error}")));
    let line = text
        .lines()
        .find_map(|line| line.trim().strip_prefix("run ="));
    let command = line.map(|line| line.trim().trim_matches('"').to_string());
    let command = command.unwrap_or_else(|| unable("the deploy file names no command"));
    command.split(' ').map(str::to_string).collect()
}

fn work_folder() -> &'static Path {
    static FOLDER: OnceLock<PathBuf> = OnceLock::new();
    FOLDER.get_or_init(|| {
        let path =
            PathBuf::from(std::env::var("WORK").unwrap_or_else(|_| unable("WORK isn't set")));
        fs::create_dir_all(&path).unwrap_or_else(|error| unable(&error.to_string()));
        path
    })
}

impl Node {
    /// Starts a machine. Another program may take one of its ports meanwhile, so it
    /// is tried again at others.
    pub fn start(name: &str, store: SocketAddr) -> Self {
        for _ in 0..5 {
            let node = Self::start_at(name, store, free_ports(20));
            sleep_ms(100);
            if node.is_running() {
                return node;
            }
        }
        unable(&format!("{name} doesn't start"));
    }

    fn start_at(name: &str, store: SocketAddr, first: u16) -> Self {
        let address = |offset: u16| SocketAddr::from((Ipv4Addr::LOCALHOST, first + offset));
        let (front, ready) = (address(0), address(1));
        let settings = format!(
            r#"node-name = "{name}"
role = "entry"
machine-class = "front"
serves = ["front"]
ip = "127.0.0.1"
zone = "z-a"
region = "r-a"
internal-ports = [{}, {}]
seeds = []
bootstrap = true
in-tolerance = false
discovery = "platform"
entry = "vip"
heartbeat-ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[zones]
z-a = "r-a"
[listen]
front = "{front}"
ready = "{ready}"
[limits]
cpu-share = 0.25
cores = 1
memory-mb = {MEMORY_MB}
max-fds = 4100
link-mbps = 1000.0
disk-mb = 0
[bounds]
seed-lag-s = 3
reuse-after-s = 2
stable-window-ms = {STABLE_WINDOW_MS}
ack-ms = 4000
catch-up-s = 4
drain-ms = {DRAIN_MS}
grace-s = 8
lost-ms = 200
config-ms = {CONFIG_MS}
rollback-slack-ms = 250
outer-ms = 5000
fail-closed = true
revoke-ms = 5000
retry-budget-ratio = 0.2
budget-window-s = 10
budget-slack = 52
recover-s = 12
pass-ms = 120
again-s = 5.8
[platform]
address = "{store}"
form = "kv"
writes-per-s = 400
reads-per-s = 2000
history-s = 20
value-bytes = 1048576
ttl-min-ms = 1000
"#,
            first + 4,
            first + 19,
        );
        let folder = work_folder().join(name);
        fs::create_dir_all(&folder).unwrap_or_else(|error| unable(&error.to_string()));
        fs::write(folder.join("boot.toml"), settings)
            .unwrap_or_else(|error| unable(&error.to_string()));
        let child = Self::spawn(&folder);
        Self {
            name: name.to_string(),
            child,
            folder,
            front,
            ready,
        }
    }

    fn spawn(folder: &Path) -> usize {
        let command = deployed_command();
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(folder.join("log"))
            .unwrap_or_else(|error| unable(&error.to_string()));
        let child = Command::new(root().join(&command[0]))
            .args(&command[1..])
            .current_dir(root())
            .env("DEWSPRING_NODE_FILE", folder.join("boot.toml"))
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::inherit())
            .spawn()
            .unwrap_or_else(|error| unable(&format!("{}: {error}", command[0])));
        let mut children = lock(&CHILDREN);
        children.push(child);
        children.len() - 1
    }

    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect_timeout(&self.ready, ms(300)) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(ms(300)));
        let sent = stream.write_all(b"GET /api/readiness HTTP/1.1\r\nHost: n\r\n\r\n");
        let head = read_head(&mut BufReader::new(stream));
        sent.is_ok() && head.is_some_and(|head| head.status() == 200)
    }

    pub fn wait_ready(&self) {
        for _ in 0..200 {
            if self.is_ready() {
                return;
            }
            sleep_ms(50);
        }
        unable(&format!("{} isn't ready", self.name));
    }

    pub fn is_running(&self) -> bool {
        matches!(lock(&CHILDREN)[self.child].try_wait(), Ok(None))
    }

    pub fn pid(&self) -> u32 {
        lock(&CHILDREN)[self.child].id()
    }

    /// Sends a signal with the system's `kill`.
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .args([&format!("-{name}"), &self.pid().to_string()])
            .status();
        if !status.is_ok_and(|status| status.success()) {
            unable("kill");
        }
    }

    /// Kills the process and starts it again, as the platform does.
    pub fn restart(&mut self) {
        {
            let child = &mut lock(&CHILDREN)[self.child];
            let _ = child.kill();
            let _ = child.wait();
        }
        sleep_ms(300);
        self.child = Self::spawn(&self.folder);
    }

    pub fn log(&self) -> String {
        fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }
}

/// Ends the case if a machine's process has ended by itself.
pub fn check_running(nodes: &[Node], record: &Record) {
    if let Some(node) = nodes.iter().find(|node| !node.is_running()) {
        record.say(&format!("{} has ended by itself", node.name));
        end(BROKEN);
    }
}

/// Waits until each machine has had time to read the entries of the others.
pub fn wait_fleet(store: &Store, nodes: &[Node]) {
    for node in nodes {
        node.wait_ready();
    }
    for _ in 0..200 {
        if store.keys("dewspring/vm/").len() >= nodes.len() {
            break;
        }
        sleep_ms(50);
    }
    // The machines read each other's entries with their next watch.
    sleep_ms(CONFIG_MS + 500);
}

// ---------------------------------------------------------------- clients

pub const HOST: &str = "desk.example";
pub const KEY: &str = "key-of-paper";

/// Key of another tenant.
pub const OTHER_KEY: &str = "key-of-radio";

/// What a client saw of its request.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// 0 if no head arrived.
    pub status: u16,
    pub answer: Message,
    /// Time to the first piece of the body.
    pub first_after: Option<Duration>,
}

/// Sends a request on a new connection and reads its answer.
pub fn send(
    front: SocketAddr,
    method: &str,
    path: &str,
    attempt: &str,
    more: &str,
    body: &str,
    deadline_ms: u64,
) -> Seen {
    let begun = Instant::now();
    let mut seen = Seen::default();
    let Ok(mut stream) = TcpStream::connect_timeout(&front, ms(1000)) else {
        return seen;
    };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(ms(deadline_ms + 1500)));
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\nX-Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {KEY}\r\n{more}Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    if stream.write_all(text.as_bytes()).is_err() {
        return seen;
    }
    let mut reader = BufReader::new(stream);
    if let Some(mut answer) = read_head(&mut reader) {
        let mut first_after = None;
        read_body(&mut reader, &mut answer, true, |_| {
            first_after.get_or_insert_with(|| begun.elapsed());
        });
        seen.status = answer.status();
        seen.first_after = first_after;
        seen.answer = answer;
    }
    seen
}

/// A connection that a client keeps for several requests.
pub struct Kept {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
    /// Requests that were answered on it.
    pub answered: u64,
}

impl Kept {
    pub fn open(front: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&front, ms(1000)).ok()?;
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(ms(4500)));
        let reader = BufReader::new(stream.try_clone().ok()?);
        Some(Self {
            stream,
            reader,
            answered: 0,
        })
    }

    /// Sends a request and reads its answer; `None` if no head of one arrives.
    pub fn send(&mut self, method: &str, path: &str, attempt: &str) -> Option<Message> {
        let length = if method == "POST" {
            "Content-Length: 0\r\n"
        } else {
            ""
        };
        let text = format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\nX-Deadline-Ms: 3000\r\nAuthorization: Bearer {KEY}\r\n{length}\r\n"
        );
        self.stream.write_all(text.as_bytes()).ok()?;
        let mut answer = read_head(&mut self.reader)?;
        if method != "HEAD" {
            read_body(&mut self.reader, &mut answer, true, |_| {});
        }
        self.answered += 1;
        Some(answer)
    }

    /// Returns the bytes that arrive within some time although no request waits.
    pub fn unasked(&mut self, within: Duration) -> String {
        let _ = self.stream.set_read_timeout(Some(within));
        let bytes = self
            .reader
            .fill_buf()
            .map(<[u8]>::to_vec)
            .unwrap_or_default();
        let _ = self.stream.set_read_timeout(Some(ms(4500)));
        String::from_utf8_lossy(&bytes).into_owned()
    }
}

/// A configuration with an idempotent, a non-idempotent and a streaming route.
pub fn config(version: u64, timeout_ms: u64, engine: bool) -> String {
    let route = |name: &str, kind: &str, service: &str, attempts: u32, more: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"prefix\":\"/{name}/\",\"kind\":\"{kind}\",\"timeout-ms\":{timeout_ms},\"target-latency-ms\":500,\"gap-aim-ms\":500,\"priority\":1,\"service\":\"{service}\",\"max-attempts\":{attempts},\"public\":false{more}}}"
        )
    };
    let engine = match engine {
        true => {
            ",\"engine\":{\"slots\":64,\"kv-tokens\":300000,\"kv-bytes\":18432,\"link-mbps\":1000.0,\"stride\":4,\"models\":[{\"name\":\"m\"}]}"
        }
        false => "",
    };
    let routes = [
        route("read", "idempotent", "desk", 2, ""),
        route("file", "non_idempotent", "desk", 1, ""),
        route(
            "brief",
            "streaming",
            "pool",
            2,
            ",\"sticky\":true,\"resumable\":true",
        ),
        route(
            "draft",
            "streaming",
            "pool",
            1,
            ",\"sticky\":true,\"resumable\":false",
        ),
        route(
            "note",
            "streaming",
            "pool",
            1,
            ",\"sticky\":true,\"resumable\":true",
        ),
    ];
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"desk\",\"health-path\":\"/health\",\"max-conns\":370}},{{\"name\":\"pool\",\"health-path\":\"/health\",\"max-conns\":370{engine}}}],\"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}},\"tenants\":[{{\"name\":\"paper\",\"api-keys\":[\"{KEY}\"],\"priority\":1}},{{\"name\":\"radio\",\"api-keys\":[\"{OTHER_KEY}\"],\"priority\":1}}]}}",
        routes.join(",")
    )
}
