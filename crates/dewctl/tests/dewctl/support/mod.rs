//! Test doubles of the store and the daemons, and helpers to run the command line.

mod admin;
mod store;

use std::fs;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};

use dewctl::ExitStatus;
use dewspring::tables::{ConfigDocument, DocumentChange, TableTexts};

pub use admin::{FakeDaemon, FakeNode, SECRET};
pub use store::{SplitMix, StoreFault, TestStore};

pub const KEY: &str = "/dewspring/default/config";

pub const ROUTES: &str = r#"# Routes.
[[route]]
name = "memo"
path = "/v1/chat/completions"
model = "small"
pool = "engines"
tier = 1
target = "20s"
"#;

/// Returns a pools table with servers `s0`, `s1`, and so on.
pub fn pools_text(servers: usize) -> String {
    let mut text = "# Pools.\n[[pool]]\nname = \"engines\"\nkind = \"engine\"\nmodel = \"small\"\nserver = [\n".to_owned();
    for server in 0..servers {
        let port = 9000 + server;
        text.push_str(&format!("    {{ name = \"s{server}\", address = \"127.0.0.1:{port}\", data_centre = \"dc-1\", slots = 1 }}, # s{server}\n"));
    }
    text.push_str("]\n");
    text
}

pub fn texts(servers: usize) -> TableTexts {
    TableTexts {
        routes: ROUTES.to_owned(),
        pools: pools_text(servers),
    }
}

/// Sets the slots of one server and keeps the other lines unchanged.
pub fn with_slots(texts: &TableTexts, server: usize, slots: u64) -> TableTexts {
    let name = format!("name = \"s{server}\"");
    let edit = |line: &str| match (line.contains(&name), line.split_once("slots = ")) {
        (true, Some((head, tail))) => {
            let tail = tail.trim_start_matches(|c: char| c.is_ascii_digit());
            format!("{head}slots = {slots}{tail}\n")
        }
        _ => format!("{line}\n"),
    };
    TableTexts {
        routes: texts.routes.clone(),
        pools: texts.pools.lines().map(edit).collect(),
    }
}

pub fn change(change_id: &str, texts: TableTexts) -> DocumentChange {
    DocumentChange {
        change_id: change_id.to_owned(),
        operator: "other".to_owned(),
        applied_at: 0,
        texts,
    }
}

pub fn first_document(servers: usize) -> ConfigDocument {
    ConfigDocument::first(change("first", texts(servers)))
}

/// A temporary directory with two tables that is removed on drop.
pub struct TestDir {
    path: PathBuf,
}

impl TestDir {
    pub fn create(texts: &TableTexts) -> Self {
        static NEXT: AtomicU64 = AtomicU64::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let name = format!("dewctl-test-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir(&path).expect("a new directory");
        let dir = Self { path };
        dir.write("routes.toml", &texts.routes);
        dir.write("pools.toml", &texts.pools);
        dir
    }

    pub fn path(&self) -> &Path {
        &self.path
    }

    pub fn text(&self) -> &str {
        self.path.to_str().expect("a path in UTF-8")
    }

    pub fn write(&self, name: &str, text: &str) {
        fs::write(self.path.join(name), text).expect("a writable directory");
    }

    pub fn read(&self, name: &str) -> String {
        fs::read_to_string(self.path.join(name)).expect("a file")
    }
}

impl Drop for TestDir {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.path);
    }
}

/// Exit status and output of one run of the command line.
#[derive(Debug)]
pub struct RunResult {
    pub status: ExitStatus,
    pub output: String,
    pub errors: String,
}

/// Runs the command line with the settings of a store and some daemons.
pub fn run(store: &TestStore, daemons: &[&FakeDaemon], arguments: &[&str]) -> RunResult {
    let mut all = vec![
        "dewctl",
        "--platform",
        "127.0.0.1:9",
        "--operator",
        "ada",
        "--secret",
        SECRET,
    ];
    let addresses: Vec<String> = daemons
        .iter()
        .map(|daemon| daemon.address.to_string())
        .collect();
    let admin = addresses.join(",");
    if !admin.is_empty() {
        all.extend(["--admin", &admin]);
    }
    all.extend(arguments);
    run_with_arguments(store, &all)
}

/// Runs the command line with only the given arguments.
pub fn run_with_arguments(store: &TestStore, arguments: &[&str]) -> RunResult {
    let (mut output, mut errors) = (Vec::new(), Vec::new());
    let arguments: Vec<_> = arguments.iter().map(Into::into).collect();
    let status = dewctl::run(arguments, &mut output, &mut errors, |_, _| store.clone());
    RunResult {
        status,
        output: String::from_utf8(output).expect("UTF-8"),
        errors: String::from_utf8(errors).expect("UTF-8"),
    }
}
