//! Broken responses of daemons.

use std::sync::Arc;
use std::time::Duration;

use dewctl::admin::AdminClient;
use standins::broken::call_cases;
use standins::script::ScriptedServer;

/// Guards against a broken response that passes for a daemon's answer.
#[test]
fn a_broken_response_is_no_answer() {
    let server = Arc::new(ScriptedServer::spawn().expect("a port is free"));
    let client = AdminClient::new(vec![server.address()], "s", Duration::from_secs(1));
    let report = r#"{"vm":"vm-1","request":"r","steps":[]}"#;
    let mut faults = Vec::new();
    for (status, content) in [(200, report), (404, "{}")] {
        for (case, is_whole) in call_cases(status, content) {
            server.respond_next(&case.parts[0], case.end);
            let answer = client.fetch_explanations("r").remove(0).answer;
            let is_as_expected = match &answer {
                Ok(report) => is_whole && report.is_some() == (status == 200),
                Err(_) => !is_whole,
            };
            if !is_as_expected {
                faults.push(format!("{status}, {}: {answer:?}", case.name));
            }
        }
    }
    assert!(faults.is_empty(), "{faults:#?}");
}
