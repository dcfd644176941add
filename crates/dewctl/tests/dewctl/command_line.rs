//! End-to-end tests of the commands, from arguments to output and exit status.

use std::sync::atomic::Ordering;

use crate::support::{
    FakeDaemon, RunResult, SECRET, StoreFault, TestDir, TestStore, first_document, run,
    run_with_arguments, texts, with_slots,
};
use dewctl::ExitStatus;
use dewctl::tables_dir::BASE_FILE;
use standins::ports::free_address;

fn assert_status(result: &RunResult, status: ExitStatus) {
    assert_eq!(result.status, status, "{result:?}");
}

#[test]
fn check_lists_every_fault() {
    let store = TestStore::default();
    let dir = TestDir::create(&texts(2));
    let result = run(&store, &[], &["check", dir.text()]);
    assert_status(&result, ExitStatus::Success);
    assert_eq!(result.output, "valid: 1 routes, 1 pools, 2 servers\n");

    dir.write(
        "pools.toml",
        &dir.read("pools.toml").replace("slots = 1", "slots = 0"),
    );
    let result = run(&store, &[], &["check", dir.text()]);
    assert_status(&result, ExitStatus::CheckErrors);
    let path = dir.path().join("pools.toml");
    let expected = format!(
        "{0}:7: slots: must be above zero\n{0}:8: slots: must be above zero\n",
        path.display()
    );
    assert_eq!((result.output.as_str(), result.errors), ("", expected));

    let result = run(&store, &[], &["check", dir.text(), "--json"]);
    assert_status(&result, ExitStatus::CheckErrors);
    assert!(
        result
            .output
            .contains(r#""line":7,"key":"slots","message":"must be above zero""#),
        "{}",
        result.output
    );
}

#[test]
fn wrong_command_lines_are_usage_errors() {
    let store = TestStore::default();
    let dir = TestDir::create(&texts(1));
    let cases: [&[&str]; 7] = [
        &["dewctl"],
        &["dewctl", "fly"],
        &["dewctl", "status"],
        &["dewctl", "history"],
        &["dewctl", "--platform", "nowhere", "history"],
        &["dewctl", "--platform", "127.0.0.1:9", "apply", dir.text()],
        &[
            "dewctl",
            "--platform",
            "127.0.0.1:9",
            "--fleet",
            "a/b",
            "history",
        ],
    ];
    for arguments in cases {
        assert_status(&run_with_arguments(&store, arguments), ExitStatus::Usage);
    }
    assert_status(
        &run(&store, &[], &["apply", dir.text(), "--wait"]),
        ExitStatus::Usage,
    );
    assert_eq!(store.log(), []);
    let help = run_with_arguments(&store, &["dewctl", "--help"]);
    assert_status(&help, ExitStatus::Success);
    assert!(help.output.contains("Exit status: 0 done"));
}

#[test]
fn concurrent_edits_conflict_or_are_merged() {
    let store = TestStore::default();
    let ada = TestDir::create(&texts(3));
    let result = run(&store, &[], &["apply", ada.text()]);
    assert_status(&result, ExitStatus::Success);
    assert!(
        result.output.starts_with("applied as revision 1, change "),
        "{result:?}"
    );

    // Bob fetches the tables and changes a different row than Ada.
    let bob = TestDir::create(&texts(1));
    assert_status(
        &run(&store, &[], &["show", "--to", bob.text()]),
        ExitStatus::Success,
    );
    assert_eq!(bob.read("pools.toml"), ada.read("pools.toml"));
    ada.write("pools.toml", &with_slots(&texts(3), 0, 5).pools);
    assert_status(
        &run(&store, &[], &["apply", ada.text()]),
        ExitStatus::Success,
    );
    bob.write("pools.toml", &with_slots(&texts(3), 1, 6).pools);

    let result = run(&store, &[], &["diff", bob.text()]);
    assert_eq!(
        result.output,
        "~ server \"s0\"\n    slots: 5 -> 1\n~ server \"s1\"\n    slots: 1 -> 6\n"
    );
    let result = run(&store, &[], &["apply", bob.text()]);
    assert_status(&result, ExitStatus::Conflict);
    assert!(
        result
            .errors
            .contains("started from revision 1, but the store holds revision 2 of ada"),
        "{result:?}"
    );
    assert!(
        result
            .errors
            .contains("changed by others since then:\n~ server \"s0\"\n    slots: 1 -> 5\n")
    );
    assert_eq!(store.document().revision, 2);

    let result = run(&store, &[], &["apply", bob.text(), "--rebase"]);
    assert_status(&result, ExitStatus::Success);
    let merged = with_slots(&with_slots(&texts(3), 0, 5), 1, 6);
    assert_eq!(store.document().texts(), merged);
    assert_eq!(
        bob.read("pools.toml"),
        merged.pools,
        "the next edit starts from the merged tables"
    );

    // Ada's next edit changes the row that Bob changed and can't be merged.
    ada.write(
        "pools.toml",
        &with_slots(&with_slots(&texts(3), 0, 5), 1, 9).pools,
    );
    let result = run(&store, &[], &["apply", ada.text(), "--rebase", "--json"]);
    assert_status(&result, ExitStatus::Conflict);
    assert!(
        result
            .output
            .contains(r#""rows":[{"table":"server","name":"s1"}]"#),
        "{}",
        result.output
    );

    let result = run(&store, &[], &["show", "--revision"]);
    assert_eq!(result.output, "3\n");
    let result = run(&store, &[], &["history", "--json"]);
    assert!(
        result.output.starts_with(r#"{"changes":[{"revision":3,"#),
        "{}",
        result.output
    );
    let result = run(&store, &[], &["show"]);
    assert!(result.output.contains(&merged.pools) && result.output.starts_with("# revision 3  "));
}

#[test]
fn tables_without_a_base_never_overwrite() {
    let store = TestStore::new(Some(&first_document(2)));
    let dir = TestDir::create(&with_slots(&texts(2), 0, 2));
    let result = run(&store, &[], &["apply", dir.text()]);
    assert_status(&result, ExitStatus::Conflict);
    assert!(result.errors.contains("--to DIR"), "{result:?}");
    let arguments = ["apply", dir.text(), "--expect", "2"];
    assert_status(&run(&store, &[], &arguments), ExitStatus::Conflict);
    let arguments = ["apply", dir.text(), "--expect", "1"];
    assert_status(&run(&store, &[], &arguments), ExitStatus::Success);
    assert_eq!(store.document().revision, 2);
    assert!(
        !dir.path().join(BASE_FILE).exists(),
        "the directory is unchanged"
    );
}

#[test]
fn a_base_for_an_empty_store_conflicts_without_expect_0() {
    let dir = TestDir::create(&texts(2));
    let arguments = ["apply", dir.text()];
    assert_status(
        &run(&TestStore::default(), &[], &arguments),
        ExitStatus::Success,
    );
    assert!(dir.path().join(BASE_FILE).exists());
    let store = TestStore::default();
    let result = run(&store, &[], &arguments);
    assert_status(&result, ExitStatus::Conflict);
    assert!(result.errors.contains("--expect 0"), "{result:?}");
    let arguments = ["apply", dir.text(), "--expect", "0"];
    assert_status(&run(&store, &[], &arguments), ExitStatus::Success);
}

#[test]
fn lost_responses_are_read_back_and_outages_change_nothing() {
    let store = TestStore::new(Some(&first_document(2)));
    let dir = TestDir::create(&with_slots(&texts(2), 0, 2));
    store.inject([StoreFault::LostResponse]);
    let result = run(
        &store,
        &[],
        &["apply", dir.text(), "--expect", "1", "--change-id", "c-1"],
    );
    assert_status(&result, ExitStatus::Success);
    assert!(
        result.output.contains("the outcome was read back"),
        "{result:?}"
    );
    let result = run(
        &store,
        &[],
        &["apply", dir.text(), "--expect", "1", "--change-id", "c-1"],
    );
    assert_status(&result, ExitStatus::Success);
    store.inject([StoreFault::Unavailable]);
    let result = run(&store, &[], &["drain", "server", "s0"]);
    assert_status(&result, ExitStatus::Failed);
    assert_eq!(store.document().revision, 2);
}

#[test]
fn server_drains_keep_the_text_and_can_be_undone() {
    let first = first_document(2);
    let store = TestStore::new(Some(&first));
    let result = run(&store, &[], &["drain", "server", "s1"]);
    assert_status(&result, ExitStatus::Success);
    let expected = first
        .pools
        .replace("name = \"s1\"", "name = \"s1\", drain = true");
    assert_eq!(store.document().pools, expected);
    let result = run(&store, &[], &["drain", "server", "s1"]);
    assert_eq!(
        result.output,
        "nothing to change: revision 2 is as wanted\n"
    );
    assert_status(
        &run(&store, &[], &["drain", "server", "s1", "--undo"]),
        ExitStatus::Success,
    );
    assert_eq!(
        store.document().pools,
        expected.replace("drain = true", "drain = false")
    );
    assert_status(
        &run(&store, &[], &["drain", "server", "s9"]),
        ExitStatus::Failed,
    );
}

#[test]
fn waits_end_when_all_daemons_have_the_revision() {
    let store = TestStore::new(Some(&first_document(2)));
    let daemons = [
        FakeDaemon::spawn("vm-1", 2, 0),
        FakeDaemon::spawn("vm-2", 2, 2),
    ];
    let daemons: Vec<&FakeDaemon> = daemons.iter().collect();
    let result = run(&store, &daemons, &["drain", "server", "s0", "--wait"]);
    assert_status(&result, ExitStatus::Success);
    assert!(
        result
            .output
            .ends_with("revision 2 is in force on all daemons\n"),
        "{result:?}"
    );

    let result = run(
        &store,
        &daemons,
        &["drain", "server", "s1", "--wait", "--wait-timeout", "1"],
    );
    assert_status(&result, ExitStatus::WaitTimeout);
    assert!(
        result.output.starts_with("applied as revision 3"),
        "{result:?}"
    );
    let expected = format!("{}: revision 2 on vm-2", daemons[1].address);
    assert!(result.errors.contains(&expected), "{result:?}");
}

#[test]
fn another_change_of_the_same_revision_is_not_in_force() {
    let store = TestStore::new(Some(&first_document(2)));
    let daemon = FakeDaemon::spawn_with_change("vm-1", 2, 0, "another");
    let arguments = ["drain", "server", "s0", "--wait", "--wait-timeout", "1"];
    let result = run(&store, &[&daemon], &arguments);
    assert_status(&result, ExitStatus::WaitTimeout);
    let expected = format!("{}: another change of revision 2 on vm-1", daemon.address);
    assert!(result.errors.contains(&expected), "{result:?}");
}

#[test]
fn status_shows_each_daemon() {
    let store = TestStore::default();
    let daemon = FakeDaemon::spawn("vm-1", 4, 0);
    let silent = free_address().to_string();
    let result = run(&store, &[&daemon], &["status"]);
    assert_status(&result, ExitStatus::Success);
    let lines: Vec<Vec<&str>> = result
        .output
        .lines()
        .map(|line| line.split_whitespace().collect())
        .collect();
    let address = daemon.address.to_string();
    assert_eq!(
        lines[1],
        [
            address.as_str(),
            "vm-1",
            "dc-1",
            "4",
            "yes",
            "1/2",
            "4/16",
            "5"
        ]
    );

    let admin = format!("{address},{silent}");
    let arguments = [
        "dewctl", "--admin", &admin, "--secret", SECRET, "status", "--json",
    ];
    let result = run_with_arguments(&store, &arguments);
    assert_status(&result, ExitStatus::Failed);
    assert!(
        result.output.contains(r#""report":null,"error":""#),
        "{}",
        result.output
    );
    let arguments = ["dewctl", "--admin", &address, "--secret", "wrong", "status"];
    let result = run_with_arguments(&store, &arguments);
    assert_status(&result, ExitStatus::Failed);
    assert!(
        result.output.contains("401 Unauthorized"),
        "{}",
        result.output
    );
}

#[test]
fn explain_finds_the_daemon_that_knows_the_request() {
    let store = TestStore::default();
    let daemon = FakeDaemon::spawn("vm-1", 1, 0);
    let result = run(&store, &[&daemon], &["explain", "r-7"]);
    assert_eq!(
        result.output,
        "request r-7 on vm-1\n      12 ms  broker: granted s0: least load.\n"
    );
    assert_status(
        &run(&store, &[&daemon], &["explain", "r-8"]),
        ExitStatus::Failed,
    );
    assert_status(
        &run(&store, &[&daemon], &["explain", "../status"]),
        ExitStatus::Usage,
    );
}

#[test]
fn vm_drains_reach_the_right_daemon() {
    let store = TestStore::default();
    let daemons = [
        FakeDaemon::spawn("vm-1", 1, 0),
        FakeDaemon::spawn("vm-2", 1, 0),
    ];
    let daemons: Vec<&FakeDaemon> = daemons.iter().collect();
    let result = run(&store, &daemons, &["drain", "vm", "vm-2"]);
    assert_status(&result, ExitStatus::Success);
    assert_eq!(
        result.output,
        "vm-2 is leaving; 3 requests are still in flight\n"
    );
    assert_status(
        &run(&store, &daemons, &["drain", "vm", "vm-3"]),
        ExitStatus::Failed,
    );
    let drains = daemons
        .iter()
        .map(|daemon| daemon.drains.load(Ordering::SeqCst));
    assert!(drains.eq([0, 1]));
}
