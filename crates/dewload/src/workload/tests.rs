//! Tests of the parsing and validation of workloads.

use std::fs;
use std::path::Path;

use super::WorkloadSpec;

const VALID: &str = r#"
duration_seconds = 1
[[class]]
name = "memo"
path = "/v1/chat/completions"
model = "m"
rate_per_second = 2
target_ms = 100
prompt_tokens = { median = 10, sigma = 0.5, max = 50 }
answer_tokens = { median = 10, sigma = 0.5, max = 50 }
workspaces = [{ name = "a", weight = 1 }]
"#;

#[test]
fn invalid_workloads_are_rejected() {
    struct Case {
        from: &'static str,
        to: &'static str,
        error: &'static str,
    }
    let cases = [
        Case {
            from: "duration_seconds = 1",
            to: "duration_seconds = 0",
            error: "duration_seconds is not above 0",
        },
        Case {
            from: "path = \"/v1",
            to: "path = \"v1",
            error: "class memo: path does not begin with /",
        },
        Case {
            from: "model = \"m\"\n",
            to: "",
            error: "class memo: answer_tokens is given without a model, or a model without it",
        },
        Case {
            from: "weight = 1",
            to: "weight = 0",
            error: "class memo: workspaces.weight is not above 0",
        },
        Case {
            from: "target_ms",
            to: "repeat_percent = 5\ntarget_ms",
            error: "class memo: repeat_percent needs keyed",
        },
        Case {
            from: "sigma = 0.5",
            to: "sigma = -1",
            error: "class memo: prompt_tokens.sigma is below 0",
        },
        Case {
            from: "target_ms = 100",
            to: "goal_ms = 100",
            error: "the workload can't be read",
        },
    ];
    assert_eq!(WorkloadSpec::parse(VALID).map(|_| ()), Ok(()));
    for case in cases {
        let text = VALID.replacen(case.from, case.to, 1);
        let error = WorkloadSpec::parse(&text).expect_err(case.error);
        assert!(error.to_string().starts_with(case.error), "{error}");
    }
}

#[test]
fn scripts_add_faults() {
    struct Case {
        control: &'static str,
        is_valid: bool,
    }
    let cases = [
        Case {
            control: r#"{"reset_after_tokens": null}"#,
            is_valid: true,
        },
        Case {
            control: "speed",
            is_valid: false,
        },
        Case {
            control: "[]",
            is_valid: false,
        },
    ];
    for case in cases {
        let mut workload = WorkloadSpec::parse(VALID).expect("a valid workload");
        let script = format!(
            "[[fault]]\nat_seconds = 1\nserver = \"e\"\ncontrol = '{}'\n",
            case.control
        );
        let result = workload.add_faults(&script);
        assert_eq!(result.is_ok(), case.is_valid, "{}", case.control);
    }
}

#[test]
fn the_examples_are_valid() {
    let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    for name in ["rollehyre", "magnolia"] {
        let read = |file| fs::read_to_string(examples.join(name).join(file)).expect("an example");
        let mut workload = WorkloadSpec::parse(&read("workload.toml")).expect(name);
        workload.add_faults(&read("faults.toml")).expect(name);
    }
}
