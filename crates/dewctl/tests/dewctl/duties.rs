//! Tests of the command that shows the duties of a `dewnode` fleet.

use std::net::SocketAddr;

use dewctl::ExitStatus;
use standins::ports::free_address;

use crate::support::{FakeNode, RunResult, TestStore, run_with_arguments};

/// A VM that holds the usage reports, and one duty of orders.
const HOLDER: &str = r#"{"holders":[
    {"subject":"usage","vm":"vm-1","token":4294967297,"held_ms":61500,"this_vm":true},
    {"subject":"scale/desk/dc-1","vm":"vm-2","token":4294967296,"held_ms":2000,"this_vm":false}],
    "orders":[],"report":{"window":50,"token":4294967297,"workspaces":2,"requests":412}}"#;

/// The VM that holds the orders.
const OTHER_HOLDER: &str = r#"{"holders":[
    {"subject":"usage","vm":"vm-1","token":4294967297,"held_ms":61400,"this_vm":false},
    {"subject":"scale/desk/dc-1","vm":"vm-2","token":4294967296,"held_ms":2100,"this_vm":true}],
    "orders":[{"subject":"scale/desk/dc-1","regular":3,"interruptible":0,"decided_ms":400,
    "decision":"Steady: 3 regular"}],
    "report":{"window":49,"token":4294967297,"workspaces":2,"requests":400}}"#;

/// A VM that missed that the usage reports have another holder.
const OUTDATED: &str = r#"{"holders":[
    {"subject":"usage","vm":"vm-3","token":4294967296,"held_ms":99000,"this_vm":true},
    {"subject":"scale/desk/dc-1","vm":"vm-2","token":4294967296,"held_ms":2000,"this_vm":false}],
    "orders":[],"report":null}"#;

/// A VM without duties in its settings.
const WITHOUT_DUTIES: &str = r#"{"holders":[],"orders":[],"report":null}"#;

/// What two or more VMs show, and what the command says.
struct DutiesCase {
    name: &'static str,
    shown: &'static [&'static str],
    status: ExitStatus,
    /// Index of a VM, and the rest of a line that begins with its address.
    named: Option<(usize, &'static str)>,
}

const CASES: [DutiesCase; 4] = [
    DutiesCase {
        name: "all VMs agree",
        shown: &[HOLDER, OTHER_HOLDER],
        status: ExitStatus::Success,
        named: None,
    },
    DutiesCase {
        name: "a VM shows an earlier holder",
        shown: &[HOLDER, OTHER_HOLDER, OUTDATED],
        status: ExitStatus::Failed,
        named: Some((2, "shows another holder of usage, or none")),
    },
    DutiesCase {
        name: "a VM shows no holder",
        shown: &[HOLDER, OTHER_HOLDER, WITHOUT_DUTIES],
        status: ExitStatus::Failed,
        named: Some((2, "shows another holder of scale/desk/dc-1, or none")),
    },
    DutiesCase {
        name: "a VM answers something else",
        shown: &[HOLDER, OTHER_HOLDER, "no JSON"],
        status: ExitStatus::Failed,
        named: Some((2, "expected ident")),
    },
];

/// What the table says about the VMs that agree.
const TABLE: &str = "\
DUTY             HOLDER  TOKEN       HELD FOR
scale/desk/dc-1  vm-2    4294967296  2.1 s
usage            vm-1    4294967297  61.5 s
last usage report: window 50, 412 requests of 2 workspaces, token 4294967297
scale/desk/dc-1: Steady: 3 regular, 0.4 s ago
";

fn run_duties(addresses: &[SocketAddr], more: &[&str]) -> RunResult {
    let addresses: Vec<String> = addresses.iter().map(ToString::to_string).collect();
    let joined = addresses.join(",");
    let arguments = [&["dewctl", "duties", "--node", &joined], more].concat();
    run_with_arguments(&TestStore::default(), &arguments)
}

/// Guards against an earlier holder that is shown as the current one, and against
/// VMs that disagree or don't answer without being named.
#[test]
fn duties_shows_holders_and_names_vms_that_disagree() {
    for case in CASES {
        let nodes: Vec<_> = case
            .shown
            .iter()
            .map(|shown| FakeNode::spawn(shown))
            .collect();
        let addresses: Vec<_> = nodes.iter().map(|node| node.address).collect();
        let result = run_duties(&addresses, &[]);
        assert_eq!(result.status, case.status, "{}: {result:?}", case.name);
        let rest = result.output.strip_prefix(TABLE);
        let rest = rest.unwrap_or_else(|| panic!("{}: {}", case.name, result.output));
        match case.named {
            None => assert_eq!(rest, "", "{}", case.name),
            Some((node, line)) => {
                let line = format!("{}: {line}", addresses[node]);
                assert!(rest.contains(&line), "{}: {rest}", case.name);
            }
        }
    }
}

/// Guards against a VM that can't be reached and hides what the others show.
#[test]
fn duties_names_vms_that_do_not_answer() {
    let node = FakeNode::spawn(HOLDER);
    let unused = free_address();
    let result = run_duties(&[node.address, unused], &["--json"]);
    assert_eq!(result.status, ExitStatus::Failed, "{result:?}");
    let holder =
        r#"{"subject":"usage","vm":"vm-1","token":4294967297,"held_ms":61500,"disagreeing":[]}"#;
    assert!(result.output.contains(holder), "{}", result.output);
    let silent = format!(r#""silent":[{{"address":"{unused}","error":"#);
    assert!(result.output.contains(&silent), "{}", result.output);
}

/// Guards against a command line without a VM, or with a name instead of an
/// address.
#[test]
fn duties_needs_addresses() {
    for arguments in [&["duties"][..], &["duties", "--node", "vm-1"]] {
        let arguments = [&["dewctl"], arguments].concat();
        let result = run_with_arguments(&TestStore::default(), &arguments);
        assert_eq!(result.status, ExitStatus::Usage, "{result:?}");
    }
    let node = FakeNode::spawn(HOLDER);
    let (one, other) = (node.address.to_string(), FakeNode::spawn(OTHER_HOLDER));
    let result = run_duties(&[other.address], &["--node", &one]);
    assert_eq!(result.output, TABLE, "a repeated option adds a VM");
}
