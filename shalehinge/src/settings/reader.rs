//! Reads a settings file in INI and collects everything that is wrong with it.
//!
//! Each problem names file, line and key, and says how to mend it.

use std::collections::{BTreeMap, BTreeSet};
use std::str::FromStr;
use std::time::Duration;

use ini::Ini;
use miette::{Diagnostic, NamedSource, SourceSpan};

use super::control::Assembly;
use super::learning::FeedLayout;
use super::router::ChoicePolicy;
use crate::core::placement::host_choice::HostChoice;

/// Everything that is wrong with a settings file.
#[derive(Debug, thiserror::Error, Diagnostic)]
#[error("the settings in {file} can't be used")]
pub struct SettingsError {
    /// The file.
    pub file: String,
    /// Each problem.
    #[related]
    pub problems: Vec<SettingsProblem>,
}

/// One thing that is wrong.
#[derive(Debug, thiserror::Error, Diagnostic)]
#[error("{file}:{line}: {message}")]
pub struct SettingsProblem {
    /// The file.
    pub file: String,
    /// Line in the file, from 1.
    pub line: usize,
    /// What is wrong, with the key.
    pub message: String,
    /// How to mend it.
    #[help]
    pub mend: String,
    /// The text of the file.
    #[source_code]
    pub source_code: NamedSource<String>,
    /// Where it stands.
    #[label("here")]
    pub span: SourceSpan,
}

/// A settings file that is being read.
pub struct Reader {
    file: String,
    text: String,
    ini: Ini,
    used: BTreeMap<String, BTreeSet<String>>,
    problems: Vec<SettingsProblem>,
}

/// One section that is being read.
pub struct Section<'a> {
    reader: &'a mut Reader,
    name: &'static str,
}

impl Reader {
    /// Parses a file's text.
    pub fn parse(file: &str, text: &str) -> Result<Self, SettingsError> {
        match Ini::load_from_str(text) {
            Ok(ini) => Ok(Self {
                file: file.to_owned(),
                text: text.to_owned(),
                ini,
                used: BTreeMap::new(),
                problems: Vec::new(),
            }),
            Err(error) => {
                let line = error.line.max(1);
                let problem = SettingsProblem {
                    file: file.to_owned(),
                    line,
                    message: format!("this is not INI: {}", error.msg),
                    mend: "write `key = value` lines under a `[section]`".into(),
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

    /// Starts to read a section.
    pub fn section(&mut self, name: &'static str) -> Section<'_> {
        self.used.entry(name.to_owned()).or_default();
        Section { reader: self, name }
    }

    /// Ends the reading: unknown sections and keys are problems as well.
    pub fn finish(mut self) -> Result<(), SettingsError> {
        self.find_unknown();
        if self.problems.is_empty() {
            return Ok(());
        }
        self.problems.sort_by_key(|problem| problem.line);
        Err(SettingsError {
            file: self.file,
            problems: self.problems,
        })
    }

    fn find_unknown(&mut self) {
        let mut unknown = Vec::new();
        for (section, properties) in self.ini.iter() {
            // Text before the first section is a section without a name.
            if section.is_none() && properties.is_empty() {
                continue;
            }
            let section = section.unwrap_or_default();
            let Some(used) = self.used.get(section) else {
                let known: Vec<&str> = self.used.keys().map(String::as_str).collect();
                let mend = format!("the sections are {}", known.join(", "));
                unknown.push((section.to_owned(), None, mend));
                continue;
            };
            for (key, _) in properties.iter() {
                if !used.contains(key) {
                    let known: Vec<&str> = used.iter().map(String::as_str).collect();
                    let mend = format!("the keys of [{section}] are {}", known.join(", "));
                    unknown.push((section.to_owned(), Some(key.to_owned()), mend));
                }
            }
        }
        for (section, key, mend) in unknown {
            let message = match &key {
                Some(key) => format!("there is no key {key:?} in [{section}]"),
                None => format!("there is no section [{section}]"),
            };
            self.problem(&section, key.as_deref(), message, mend);
        }
    }

    /// Notes a problem at a key, or at its section if the key is not there.
    pub fn problem(&mut self, section: &str, key: Option<&str>, message: String, mend: String) {
        let line = self.line_of(section, key);
        let span = span_of_line(&self.text, line);
        self.problems.push(SettingsProblem {
            file: self.file.clone(),
            line,
            message,
            mend,
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
    /// The text of a key, if it is there and not empty.
    fn raw(&mut self, key: &str) -> Option<String> {
        let used = self.reader.used.entry(self.name.to_owned()).or_default();
        used.insert(key.to_owned());
        let section = self.reader.ini.section(Some(self.name))?;
        let value = section.get(key)?.trim();
        (!value.is_empty()).then(|| value.to_owned())
    }

    /// Notes a problem at a key of this section.
    pub fn problem(&mut self, key: &str, message: String, mend: &str) {
        self.reader
            .problem(self.name, Some(key), message, mend.to_owned());
    }

    fn parse<T>(
        &mut self,
        key: &str,
        default: T,
        parse: impl Fn(&str) -> Option<T>,
        mend: &str,
    ) -> T {
        let Some(text) = self.raw(key) else {
            return default;
        };
        match parse(&text) {
            Some(value) => value,
            None => {
                self.problem(key, format!("{key} can't be {text:?}"), mend);
                default
            }
        }
    }

    /// A time with its unit.
    pub fn duration(&mut self, key: &str, default: Duration) -> Duration {
        let parse = |text: &str| {
            let value = humantime::parse_duration(text).ok()?;
            (value > Duration::ZERO).then_some(value)
        };
        self.parse(
            key,
            default,
            parse,
            "write a time above zero with its unit, like 500ms, 2s or 1h",
        )
    }

    /// A time with its unit that may be left out.
    pub fn optional_duration(&mut self, key: &str) -> Option<Duration> {
        self.raw(key)?;
        Some(self.duration(key, Duration::ZERO))
    }

    /// A whole number from 1.
    pub fn count<T: FromStr + PartialOrd + From<u8>>(&mut self, key: &str, default: T) -> T {
        let parse = |text: &str| {
            let value = text.parse::<T>().ok()?;
            (value >= T::from(1)).then_some(value)
        };
        self.parse(key, default, parse, "write a whole number from 1")
    }

    /// A number that is not negative.
    pub fn fraction(&mut self, key: &str, default: f64) -> f64 {
        let parse = |text: &str| {
            let value = text.parse::<f64>().ok()?;
            (value.is_finite() && value >= 0.0).then_some(value)
        };
        self.parse(key, default, parse, "write a number like 0.5, from 0")
    }

    /// Yes or no.
    pub fn flag(&mut self, key: &str, default: bool) -> bool {
        let parse = |text: &str| match text {
            "yes" | "true" => Some(true),
            "no" | "false" => Some(false),
            _ => None,
        };
        self.parse(key, default, parse, "write yes or no")
    }

    /// How an upstream is chosen.
    pub fn policy(&mut self, key: &str, default: ChoicePolicy) -> ChoicePolicy {
        let parse = |text: &str| match text {
            "score" => Some(ChoicePolicy::Score),
            "round-robin" => Some(ChoicePolicy::RoundRobin),
            "least-in-flight" => Some(ChoicePolicy::LeastInFlight),
            _ => None,
        };
        let mend = "write score, round-robin or least-in-flight";
        self.parse(key, default, parse, mend)
    }

    /// Which objects are listed and watched together.
    pub fn feed_layout(&mut self, key: &str, default: FeedLayout) -> FeedLayout {
        let parse = |text: &str| match text {
            "shared" => Some(FeedLayout::Shared),
            "split" => Some(FeedLayout::Split),
            _ => None,
        };
        self.parse(key, default, parse, "write shared or split")
    }

    /// How the members of a group come together.
    pub fn assembly(&mut self, key: &str, default: Assembly) -> Assembly {
        let parse = |text: &str| match text {
            "engines" => Some(Assembly::Engines),
            "orders" => Some(Assembly::Orders),
            _ => None,
        };
        self.parse(key, default, parse, "write engines or orders")
    }

    /// How hosts are chosen.
    pub fn host_choice(&mut self, key: &str, default: HostChoice) -> HostChoice {
        let parse = |text: &str| match text {
            "best-fit" => Some(HostChoice::BestFit),
            "first-fit" => Some(HostChoice::FirstFit),
            _ => None,
        };
        self.parse(key, default, parse, "write best-fit or first-fit")
    }

    /// Text that may be left out.
    pub fn optional_text(&mut self, key: &str) -> Option<String> {
        self.raw(key)
    }

    /// Text that must be there.
    pub fn text(&mut self, key: &str, example: &str) -> String {
        self.raw(key).unwrap_or_else(|| {
            let mend = format!("add a line like `{key} = {example}`");
            self.problem(key, format!("{key} is missing in [{}]", self.name), &mend);
            String::new()
        })
    }

    /// An address that may be left out.
    pub fn optional_address(&mut self, key: &str) -> Option<std::net::SocketAddr> {
        let mend = "write an IP number and a port, like 10.0.0.7:7000";
        self.parse(key, None, |text| text.parse().ok().map(Some), mend)
    }

    /// An address that must be there.
    pub fn address(&mut self, key: &str) -> std::net::SocketAddr {
        let nowhere = std::net::SocketAddr::from(([0, 0, 0, 0], 0));
        let is_missing = self.raw(key).is_none();
        if is_missing {
            let message = format!("{key} is missing in [{}]", self.name);
            self.problem(key, message, "add a line like `listen = 10.0.0.7:7000`");
            return nowhere;
        }
        self.optional_address(key).unwrap_or(nowhere)
    }

    /// Addresses with commas between them.
    pub fn addresses(&mut self, key: &str) -> Vec<std::net::SocketAddr> {
        let parse = |text: &str| {
            let parts = text
                .split(',')
                .map(str::trim)
                .filter(|part| !part.is_empty());
            parts.map(|part| part.parse().ok()).collect()
        };
        let mend =
            "write IP numbers with ports and commas between, like 10.0.0.7:7002, 10.0.0.8:7002";
        self.parse(key, Vec::new(), parse, mend)
    }
}
