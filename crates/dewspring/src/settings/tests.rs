//! Tests of the settings: all errors are reported together.

use super::{DaemonSettings, PlatformKind, settings_command};

const VALID: [&str; 9] = [
    "dewspringd",
    "--vm=a",
    "--data-centre=dk-east-1",
    "--secret=0123456789abcdef",
    "--platform=127.0.0.1:2379",
    "--listen=127.0.0.1:1",
    "--admin-listen=127.0.0.1:2",
    "--peer-listen=127.0.0.1:3",
    "--log-format=json",
];

struct SettingCase {
    flags: &'static [&'static str],
    errors: &'static [&'static str],
}

#[test]
fn every_invalid_setting_is_reported() {
    let cases = [
        SettingCase {
            flags: &["dewspringd"],
            errors: &[
                "--vm: must be set",
                "--data-centre: must be set",
                "--secret: must be set",
                "--routes: must be set",
                "--pools: must be set",
            ],
        },
        SettingCase {
            flags: &[
                "dewspringd",
                "--vm=a",
                "--data-centre=d",
                "--secret=",
                "--platform=127.0.0.1:2379",
            ],
            errors: &["--secret: must be at least 16 bytes long"],
        },
        SettingCase {
            flags: &[
                "dewspringd",
                "--vm=a b",
                "--data-centre=d",
                "--secret=short",
                "--platform=nowhere",
                "--listen=localhost:80",
                "--admin-listen=127.0.0.1:9",
                "--peer-listen=127.0.0.1:9",
                "--entry-threads=0",
                "--max-connections=many",
                "--body-timeout=0s",
                "--header-timeout=5",
                "--log-format=xml",
                "--log-level=loud",
            ],
            errors: &[
                "--vm: must consist of letters, digits, '-', '_' and '.'",
                "--listen: must be an IP address with a port, found \"localhost:80\"",
                "--secret: must be at least 16 bytes long",
                "--platform: must be 'embedded' or an IP address with a port",
                "--entry-threads: must be above zero",
                "--max-connections: must be a whole number, found \"many\"",
                "--header-timeout: must be a duration: time unit needed, for example 5sec or 5ms",
                "--body-timeout: must be above zero",
                "--log-format: must be text or json",
                "--log-level: must be error, warn, info, debug or trace",
                "--peer-listen: is the same address as --admin-listen",
            ],
        },
    ];
    for case in cases {
        let matches = settings_command()
            .try_get_matches_from(case.flags)
            .expect("the flags are known");
        let errors = DaemonSettings::check(&matches).expect_err("the settings are invalid");
        let lines: Vec<String> = errors.0.iter().map(ToString::to_string).collect();
        assert_eq!(lines, case.errors);
    }
}

#[test]
fn valid_settings_are_accepted() {
    let matches = settings_command()
        .try_get_matches_from(VALID)
        .expect("the flags are known");
    let settings = DaemonSettings::check(&matches).expect("the settings are valid");
    assert!(matches!(settings.platform, PlatformKind::Gateway(_)));
    assert!(!format!("{settings:?}").contains("0123456789abcdef"));
}
