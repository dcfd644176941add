//! Tests of the parsing of reports with missing, unknown and invalid fields.

use super::{CacheEvents, LoadReport};

struct ReportCase {
    text: &'static str,
    running: Option<u32>,
}

#[test]
fn missing_and_unknown_fields_of_reports_are_tolerated() {
    let cases = [
        ReportCase {
            text: r#"{"running":3,"models":["a"],"slots":8}"#,
            running: Some(3),
        },
        ReportCase {
            text: "{}",
            running: Some(0),
        },
        ReportCase {
            text: r#"{"running":-1}"#,
            running: None,
        },
        ReportCase {
            text: r#"[]x"#,
            running: None,
        },
    ];
    for case in cases {
        let report: Option<LoadReport> = serde_json::from_str(case.text).ok();
        assert_eq!(
            report.map(|report| report.running),
            case.running,
            "{}",
            case.text
        );
    }
}

#[test]
fn only_stored_prefixes_with_a_hash_become_hints() {
    let text = r#"{"next":9,"events":[
        {"sequence":7,"kind":"stored","prefix":"00000000000000ff"},
        {"sequence":8,"kind":"evicted","prefix":"01"},
        {"sequence":9,"kind":"stored","prefix":"not a hash"}]}"#;
    let events: CacheEvents = serde_json::from_str(text).expect("the events are well formed");
    let report = LoadReport::default().into_server_report("e1".into(), &events);
    let prefixes: Vec<u64> = report.cached.iter().map(|hint| hint.prefix).collect();
    assert_eq!(prefixes, [255]);
}
