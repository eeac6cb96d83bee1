//! Reads a settings file in INI format and collects all problems in it.
//!
//! Each problem has the file, line and key, and a suggested fix.

use std::collections::{BTreeMap, BTreeSet};
use std::str::FromStr;
use std::time::Duration;

use ini::Ini;
use miette::{Diagnostic, NamedSource, SourceSpan};

use super::control::Assembly;
use super::learning::FeedLayout;
use super::router::ChoicePolicy;
use crate::core::placement::host_choice::HostChoice;

/// All problems in a settings file.
#[derive(Debug, thiserror::Error, Diagnostic)]
#[error("invalid settings in {file}")]
pub struct SettingsError {
    /// Path of the settings file.
    pub file: String,
    /// The problems, sorted by line.
    #[related]
    pub problems: Vec<SettingsProblem>,
}

/// A problem in a settings file.
#[derive(Debug, thiserror::Error, Diagnostic)]
#[error("{file}:{line}: {message}")]
pub struct SettingsProblem {
    /// Path of the settings file.
    pub file: String,
    /// Line number in the file, starting at 1.
    pub line: usize,
    /// Description of the problem, including the key.
    pub message: String,
    /// Suggested fix.
    #[help]
    pub help: String,
    /// Text of the file, for the error report.
    #[source_code]
    pub source_code: NamedSource<String>,
    /// Location of the line in the text, in bytes.
    #[label("here")]
    pub span: SourceSpan,
}

/// Reads the sections of a settings file and collects problems.
pub struct Reader {
    file: String,
    text: String,
    ini: Ini,
    known_keys: BTreeMap<String, BTreeSet<String>>,
    problems: Vec<SettingsProblem>,
}

/// Reads the keys of one section.
pub struct Section<'a> {
    reader: &'a mut Reader,
    name: &'static str,
}

impl Reader {
    /// Parses the text of a settings file; `file` is its path for error messages.
    ///
    /// # Errors
    ///
    /// The text is not valid INI.
    pub fn parse(file: &str, text: &str) -> Result<Self, SettingsError> {
        match Ini::load_from_str(text) {
            Ok(ini) => Ok(Self {
                file: file.to_owned(),
                text: text.to_owned(),
                ini,
                known_keys: BTreeMap::new(),
                problems: Vec::new(),
            }),
            Err(error) => {
                let line = error.line.max(1);
                let problem = SettingsProblem {
                    file: file.to_owned(),
                    line,
                    message: format!("invalid INI: {}", error.msg),
                    help: "put `key = value` lines under a `[section]`".into(),
                    source_code: NamedSource::new(file, text.to_owned()),
                    span: span_of_line(text, line),
                };
                Err(SettingsError {
                    file: file.to_owned(),
                    problems: vec![problem],
                })
            }
        }
    }

    /// Starts reading a section, and registers its name as known.
    pub fn section(&mut self, name: &'static str) -> Section<'_> {
        self.known_keys.entry(name.to_owned()).or_default();
        Section { reader: self, name }
    }

    /// Finishes reading. Sections and keys that were never read are reported as unknown.
    ///
    /// # Errors
    ///
    /// All problems that were found.
    pub fn finish(mut self) -> Result<(), SettingsError> {
        self.report_unknown();
        if self.problems.is_empty() {
            return Ok(());
        }
        self.problems.sort_by_key(|problem| problem.line);
        Err(SettingsError {
            file: self.file,
            problems: self.problems,
        })
    }

    fn report_unknown(&mut self) {
        let mut unknown = Vec::new();
        for (section, properties) in self.ini.iter() {
            // rust-ini represents the text before the first section as a section without a name.
            if section.is_none() && properties.is_empty() {
                continue;
            }
            let section = section.unwrap_or_default();
            let Some(known_keys) = self.known_keys.get(section) else {
                let known: Vec<&str> = self.known_keys.keys().map(String::as_str).collect();
                let help = format!("the valid sections are {}", known.join(", "));
                unknown.push((section.to_owned(), None, help));
                continue;
            };
            for (key, _) in properties.iter() {
                if !known_keys.contains(key) {
                    let known: Vec<&str> = known_keys.iter().map(String::as_str).collect();
                    let help = format!("the valid keys in [{section}] are {}", known.join(", "));
                    unknown.push((section.to_owned(), Some(key.to_owned()), help));
                }
            }
        }
        for (section, key, help) in unknown {
            let message = match &key {
                Some(key) => format!("unknown key {key:?} in [{section}]"),
                None => format!("unknown section [{section}]"),
            };
            self.report_problem(&section, key.as_deref(), message, help);
        }
    }

    /// Records a problem at the line of a key, or of its section header if the key is absent.
    pub fn report_problem(
        &mut self,
        section: &str,
        key: Option<&str>,
        message: String,
        help: String,
    ) {
        let line = self.line_of(section, key);
        let span = span_of_line(&self.text, line);
        self.problems.push(SettingsProblem {
            file: self.file.clone(),
            line,
            message,
            help,
            source_code: NamedSource::new(&self.file, self.text.clone()),
            span,
        });
    }

    fn line_of(&self, section: &str, key: Option<&str>) -> usize {
        let header = format!("[{section}]");
        let mut current = String::new();
        let mut header_line = 1;
        for (index, line) in self.text.lines().enumerate() {
            let line = line.trim();
            if line.starts_with('[') {
                current = line.to_owned();
                if current == header {
                    header_line = index + 1;
                }
                continue;
            }
            let found = line.split(['=', ':']).next().map(str::trim);
            if current == header && key.is_some() && found == key {
                return index + 1;
            }
        }
        header_line
    }
}

/// Units of sizes, in bytes.
const SIZE_UNITS: [(&str, u64); 6] = [
    ("KiB", 1 << 10),
    ("MiB", 1 << 20),
    ("GiB", 1 << 30),
    ("kB", 1_000),
    ("MB", 1_000_000),
    ("GB", 1_000_000_000),
];

/// Parses a whole number with a unit of [`SIZE_UNITS`].
fn parse_size(text: &str) -> Option<u64> {
    SIZE_UNITS.iter().find_map(|(unit, bytes)| {
        let number: u64 = text.strip_suffix(unit)?.trim().parse().ok()?;
        number.checked_mul(*bytes)
    })
}

fn span_of_line(text: &str, line: usize) -> SourceSpan {
    let start: usize = text
        .split_inclusive('\n')
        .take(line.saturating_sub(1))
        .map(str::len)
        .sum();
    let length = text
        .get(start..)
        .and_then(|rest| rest.lines().next())
        .map_or(0, str::len);
    (start.min(text.len()), length).into()
}

impl Section<'_> {
    /// Returns the value of a key unless it is absent or empty, and registers the key as known.
    fn raw(&mut self, key: &str) -> Option<String> {
        let known_keys = self
            .reader
            .known_keys
            .entry(self.name.to_owned())
            .or_default();
        known_keys.insert(key.to_owned());
        let section = self.reader.ini.section(Some(self.name))?;
        let value = section.get(key)?.trim();
        (!value.is_empty()).then(|| value.to_owned())
    }

    /// Records a problem with a key of this section.
    pub fn report_problem(&mut self, key: &str, message: String, help: &str) {
        self.reader
            .report_problem(self.name, Some(key), message, help.to_owned());
    }

    fn parse<T>(
        &mut self,
        key: &str,
        default: T,
        parse: impl Fn(&str) -> Option<T>,
        help: &str,
    ) -> T {
        let Some(text) = self.raw(key) else {
            return default;
        };
        match parse(&text) {
            Some(value) => value,
            None => {
                self.report_problem(key, format!("invalid value {text:?} for {key}"), help);
                default
            }
        }
    }

    /// Reads a duration above zero with its unit.
    pub fn duration(&mut self, key: &str, default: Duration) -> Duration {
        let parse = |text: &str| {
            let value = humantime::parse_duration(text).ok()?;
            (value > Duration::ZERO).then_some(value)
        };
        self.parse(
            key,
            default,
            parse,
            "use a duration above zero with its unit, such as 500ms, 2s or 1h",
        )
    }

    /// Reads an optional duration above zero with its unit.
    pub fn optional_duration(&mut self, key: &str) -> Option<Duration> {
        self.raw(key)?;
        Some(self.duration(key, Duration::ZERO))
    }

    /// Reads a size in bytes of at least `min`, with its unit.
    pub fn size(&mut self, key: &str, min: u64, default: u64) -> u64 {
        let parse = |text: &str| parse_size(text).filter(|size| *size >= min);
        let help = format!(
            "use a size of at least {}MB, such as 260MB",
            min / 1_000_000
        );
        self.parse(key, default, parse, &help)
    }

    /// Reads an integer of at least 1.
    pub fn count<T: FromStr + PartialOrd + From<u8>>(&mut self, key: &str, default: T) -> T {
        let parse = |text: &str| {
            let value = text.parse::<T>().ok()?;
            (value >= T::from(1)).then_some(value)
        };
        self.parse(key, default, parse, "use an integer of at least 1")
    }

    /// Reads an integer that may be 0.
    pub fn count_or_zero<T: FromStr>(&mut self, key: &str, default: T) -> T {
        let parse = |text: &str| text.parse::<T>().ok();
        self.parse(key, default, parse, "use an integer of at least 0")
    }

    /// Reads a finite number of at least 0.
    pub fn fraction(&mut self, key: &str, default: f64) -> f64 {
        let parse = |text: &str| {
            let value = text.parse::<f64>().ok()?;
            (value.is_finite() && value >= 0.0).then_some(value)
        };
        self.parse(
            key,
            default,
            parse,
            "use a number of at least 0, such as 0.5",
        )
    }

    /// Reads a part of a whole, from 0 to 1.
    pub fn proportion(&mut self, key: &str, default: f64) -> f64 {
        let parse = |text: &str| {
            let value = text.parse::<f64>().ok()?;
            (0.0..=1.0).contains(&value).then_some(value)
        };
        self.parse(key, default, parse, "use a number from 0 to 1, such as 0.5")
    }

    /// Reads a boolean: `yes`, `true`, `no` or `false`.
    pub fn flag(&mut self, key: &str, default: bool) -> bool {
        let parse = |text: &str| match text {
            "yes" | "true" => Some(true),
            "no" | "false" => Some(false),
            _ => None,
        };
        self.parse(key, default, parse, "use yes or no")
    }

    /// Reads yes or no, or a condition `WORD in LIST`, which holds if the comma-separated list
    /// contains the word. With it, a settings template can depend on a list of words.
    pub fn condition(&mut self, key: &str, default: bool) -> bool {
        let parse = |text: &str| match text {
            "yes" | "true" => Some(true),
            "no" | "false" => Some(false),
            _ => {
                let (word, rest) = text.split_once(char::is_whitespace)?;
                let list = rest.trim_start().strip_prefix("in")?;
                let is_separated = list.is_empty() || list.starts_with(char::is_whitespace);
                let contains_word = || list.split(',').any(|known| known.trim() == word);
                is_separated.then(contains_word)
            }
        };
        self.parse(
            key,
            default,
            parse,
            "use yes, no, or a condition such as a in a,b",
        )
    }

    /// Reads the policy for choosing an upstream.
    pub fn policy(&mut self, key: &str, default: ChoicePolicy) -> ChoicePolicy {
        let parse = |text: &str| match text {
            "score" => Some(ChoicePolicy::Score),
            "round-robin" => Some(ChoicePolicy::RoundRobin),
            "least-in-flight" => Some(ChoicePolicy::LeastInFlight),
            _ => None,
        };
        let help = "use score, round-robin or least-in-flight";
        self.parse(key, default, parse, help)
    }

    /// Reads which objects are listed and watched together.
    pub fn feed_layout(&mut self, key: &str, default: FeedLayout) -> FeedLayout {
        let parse = |text: &str| match text {
            "shared" => Some(FeedLayout::Shared),
            "split" => Some(FeedLayout::Split),
            _ => None,
        };
        self.parse(key, default, parse, "use shared or split")
    }

    /// Reads how the members of a group are assembled.
    pub fn assembly(&mut self, key: &str, default: Assembly) -> Assembly {
        let parse = |text: &str| match text {
            "engines" => Some(Assembly::Engines),
            "orders" => Some(Assembly::Orders),
            _ => None,
        };
        self.parse(key, default, parse, "use engines or orders")
    }

    /// Reads how hosts are chosen for a new group.
    pub fn host_choice(&mut self, key: &str, default: HostChoice) -> HostChoice {
        let parse = |text: &str| match text {
            "best-fit" => Some(HostChoice::BestFit),
            "first-fit" => Some(HostChoice::FirstFit),
            _ => None,
        };
        self.parse(key, default, parse, "use best-fit or first-fit")
    }

    /// Reads optional text.
    pub fn optional_text(&mut self, key: &str) -> Option<String> {
        self.raw(key)
    }

    /// Reads required text; `example` is shown as a value if the key is missing.
    pub fn text(&mut self, key: &str, example: &str) -> String {
        self.raw(key).unwrap_or_else(|| {
            let help = format!("add a line like `{key} = {example}`");
            self.report_problem(key, format!("{key} is missing in [{}]", self.name), &help);
            String::new()
        })
    }

    /// Reads an optional socket address.
    pub fn optional_address(&mut self, key: &str) -> Option<std::net::SocketAddr> {
        let help = "use an IP address and a port, such as 10.0.0.7:7000";
        self.parse(key, None, |text| text.parse().ok().map(Some), help)
    }

    /// Reads a required socket address.
    pub fn address(&mut self, key: &str) -> std::net::SocketAddr {
        let unspecified = std::net::SocketAddr::from(([0, 0, 0, 0], 0));
        let is_missing = self.raw(key).is_none();
        if is_missing {
            let message = format!("{key} is missing in [{}]", self.name);
            self.report_problem(key, message, "add a line like `listen = 10.0.0.7:7000`");
            return unspecified;
        }
        self.optional_address(key).unwrap_or(unspecified)
    }

    /// Reads a comma-separated list of socket addresses; empty if the key is absent.
    pub fn addresses(&mut self, key: &str) -> Vec<std::net::SocketAddr> {
        let parse = |text: &str| {
            let parts = text
                .split(',')
                .map(str::trim)
                .filter(|part| !part.is_empty());
            parts.map(|part| part.parse().ok()).collect()
        };
        let help =
            "use comma-separated IP addresses with ports, such as 10.0.0.7:7002, 10.0.0.8:7002";
        self.parse(key, Vec::new(), parse, help)
    }
}
