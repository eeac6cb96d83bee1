//! Validation of settings files: each problem is reported with its line and a suggested fix.

use std::time::Duration;

use shalehinge::settings::Settings;
use shalehinge::settings::core::CoreSettings;
use shalehinge::settings::daemon::LimitSettings;

const MINIMAL: &str = "\
[daemon]
name = entry-1
failure_domain = talca-a
[listen]
callers = 127.0.0.1:7000
operators = 127.0.0.1:7001
peers = 127.0.0.1:7002
[platform]
address = 127.0.0.1:8000
[operators]
token_sha256 = 0000000000000000000000000000000000000000000000000000000000000000
";

/// Returns the problems in a file, each as `line: message; suggested fix`.
fn problems(text: &str) -> Vec<String> {
    match Settings::parse("entry.ini", text) {
        Ok(_) => Vec::new(),
        Err(error) => error
            .problems
            .iter()
            .map(|problem| format!("{}: {}; {}", problem.line, problem.message, problem.help))
            .collect(),
    }
}

#[test]
fn a_minimal_file_uses_the_defaults() {
    let settings = Settings::parse("entry.ini", MINIMAL).expect("valid settings");
    assert_eq!(settings.core, CoreSettings::default());
    assert_eq!(settings.daemon.limits, LimitSettings::default());
}

#[test]
fn the_example_file_matches_the_defaults() {
    let text = include_str!("../../docs/example.ini");
    let settings = Settings::parse("example.ini", text).expect("valid settings");
    assert_eq!(settings.core, CoreSettings::default());
    assert_eq!(settings.daemon.limits, LimitSettings::default());
}

#[test]
fn the_memory_of_the_process_is_a_size_with_its_unit() {
    let memory = |value: &str| {
        let text = format!("{MINIMAL}[limits]\nmemory = {value}\n");
        let settings = Settings::parse("entry.ini", &text).expect("valid settings");
        settings.daemon.limits.memory
    };
    assert_eq!(memory("260MB"), 260_000_000);
    assert_eq!(memory("1 GiB"), 1 << 30);
    assert_eq!(memory(""), 256_000_000, "bounded without the setting");
    for invalid in [
        "260",
        "MB",
        "-1MB",
        "1.5GB",
        "63MB",
        "99999999999999999999GB",
    ] {
        let text = format!("{MINIMAL}[limits]\nmemory = {invalid}\n");
        let expected = format!(
            "13: invalid value {invalid:?} for memory; use a size of at least 64MB, such as 260MB"
        );
        assert_eq!(problems(&text), [expected]);
    }
}

#[test]
fn an_unknown_key_is_reported_with_its_line_and_the_valid_keys() {
    let text = format!("{MINIMAL}[lease]\nterms = 6s\n");
    assert_eq!(
        problems(&text),
        [
            "13: unknown key \"terms\" in [lease]; the valid keys in [lease] are interval, margin, term"
        ]
    );
}

#[test]
fn an_unknown_section_is_reported() {
    let text = format!("{MINIMAL}[leases]\nterm = 6s\n");
    assert!(problems(&text)[0].starts_with("12: unknown section [leases]"));
}

#[test]
fn an_invalid_unit_is_reported_with_an_example() {
    let text = format!("{MINIMAL}[lease]\nterm = 6 parsecs\n");
    let problem = &problems(&text)[0];
    assert!(
        problem.starts_with("13: invalid value \"6 parsecs\" for term"),
        "{problem}"
    );
    assert!(problem.contains("500ms"), "{problem}");
}

#[test]
fn a_missing_address_and_a_duplicate_port_are_reported_together() {
    let text = MINIMAL
        .replace("peers = 127.0.0.1:7002", "peers = 127.0.0.1:7000")
        .replace("address = 127.0.0.1:8000\n", "");
    let problems = problems(&text);
    assert_eq!(problems.len(), 2, "{problems:?}");
    assert!(problems[0].contains("peers and callers both listen on 127.0.0.1:7000"));
    assert!(problems[1].contains("address is missing in [platform]"));
}

#[test]
fn inconsistent_durations_are_rejected() {
    let text = format!("{MINIMAL}[lease]\nterm = 2s\ninterval = 2s\n");
    assert!(problems(&text)[0].contains("term must be longer than interval and margin"));
    let text = format!("{MINIMAL}[router]\nevidence_ttl = 100ms\n");
    assert!(problems(&text)[0].contains("evidence_ttl must be longer"));
}

#[test]
fn relays_without_split_feeds_are_rejected() {
    let text = format!("{MINIMAL}[learning]\nrelays = yes\n");
    assert!(problems(&text)[0].contains("relays = yes requires feeds = split"));
    let text = format!("{MINIMAL}[learning]\nrelays = yes\nfeeds = split\n");
    assert_eq!(problems(&text), Vec::<String>::new());
}

#[test]
fn invalid_ini_is_reported() {
    assert!(problems("[daemon\nname = x\n")[0].contains("invalid INI"));
}

/// Returns how long API keys stay valid with these lines in section `[learning]`.
fn keys_valid_for(lines: &str) -> Option<Duration> {
    let text = format!("{MINIMAL}[learning]\n{lines}");
    let settings = Settings::parse("entry.ini", &text).expect("valid settings");
    settings.core.learning.keys_valid_for()
}

#[test]
fn keys_are_valid_for_four_fifths_of_a_strict_revocation_time() {
    for (within_ms, valid_ms) in [(2_500, 2_000), (5_000, 4_000), (10_000, 8_000)] {
        let lines = format!("strict_revocation = true\nrevoke_within = {within_ms}ms\n");
        let valid_for = Duration::from_millis(valid_ms);
        assert_eq!(keys_valid_for(&lines), Some(valid_for));
    }
}

#[test]
fn keys_stay_valid_in_an_outage_where_revocation_is_not_strict() {
    let lines = "strict_revocation = false\nrevoke_within = 5000ms\n";
    assert_eq!(keys_valid_for(lines), None);
}

#[test]
fn strict_revocation_without_its_time_is_rejected() {
    let text = format!("{MINIMAL}[learning]\nstrict_revocation = yes\n");
    assert!(problems(&text)[0].contains("strict_revocation requires revoke_within"));
}

// Guards against an operator who can't switch the quarantine off as documented.
#[test]
fn the_quarantine_can_be_switched_off() {
    let text = format!("{MINIMAL}[router]\nquarantine_after = 0\n");
    assert_eq!(problems(&text), [""; 0]);
    let settings = Settings::parse("entry.ini", &text).expect("valid settings");
    assert_eq!(settings.core.router.quarantine_after, 0);
}

// Guards against settings_accept_shares_above_one, such as `max_ejected = 4`.
#[test]
fn parts_of_a_whole_are_from_0_to_1() {
    for (section, key) in [
        ("router", "max_ejected"),
        ("control", "load_share"),
        ("control", "spare_share"),
    ] {
        for value in ["1.01", "-0.1", "nan", "inf"] {
            let text = format!("{MINIMAL}[{section}]\n{key} = {value}\n");
            let problems = problems(&text);
            assert!(
                problems[0].contains("use a number from 0 to 1"),
                "{problems:?}"
            );
        }
        for value in ["0", "0.4", "1"] {
            let text = format!("{MINIMAL}[{section}]\n{key} = {value}\n");
            assert_eq!(problems(&text), [""; 0]);
        }
    }
}

#[test]
fn evacuations_without_split_feeds_are_rejected() {
    let text = format!("{MINIMAL}[learning]\nevacuations = yes\n");
    assert!(problems(&text)[0].contains("evacuations = yes requires feeds = split"));
    let text = format!("{MINIMAL}[learning]\nevacuations = yes\nfeeds = split\n");
    assert_eq!(problems(&text), [""; 0]);
}

/// Guards against a settings template that cannot depend on a list of words: the list may be empty,
/// and may end with a comma.
#[test]
fn a_condition_holds_if_the_list_contains_the_word() {
    let has_order = |value: &str| {
        let text = format!("{MINIMAL}[router]\noverload_order = {value}\n");
        Settings::parse("entry.ini", &text).map(|settings| settings.core.router.overload_order)
    };
    for value in ["yes", "b in a,b", "b in b, a", "b in b,"] {
        assert!(has_order(value).expect("valid settings"), "{value}");
    }
    for value in ["no", "b in a,c,", "b in ab", "b in", "b in "] {
        assert!(!has_order(value).expect("valid settings"), "{value}");
    }
    for value in ["maybe", "b inside a", "in a,b,c"] {
        assert!(has_order(value).is_err(), "{value}");
    }
}
