//! The operators' client: plans a change, shows the plan, and confirms it.
//!
//! Nothing changes until `confirm`. The exit code gives the result: see [`ExitCode`].
//!
//! - `arguments`: command-line arguments
//! - `client`: HTTP client for a daemon's operator API
//! - `render`: renders plans and status as text

pub mod arguments;
pub mod client;
pub mod render;

use std::fs;
use std::path::Path;

use self::arguments::{Arguments, Command};
use self::client::{CallError, OperatorClient};
use crate::core::change::{Change, Configuration};
use crate::core::operator::{Confirm, OperatorAnswer, Plan};
use crate::core::types::{Customer, FailureDomain, HostId, ModelName, ModelVersion, OperationId};

/// Exit code of the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitCode {
    /// The command succeeded.
    Done = 0,
    /// The command line or a file is invalid, or the daemon rejected the call.
    Usage = 1,
    /// The change is invalid; nothing changed.
    Refused = 2,
    /// The plan is out of date; nothing changed.
    OutOfDate = 3,
    /// The daemon or the platform is not available; nothing changed.
    Unavailable = 4,
    /// It is unknown whether the change was accepted; confirm again.
    Unclear = 5,
    /// The daemon rejected the token.
    Unauthorized = 6,
}

/// Result of a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommandResult {
    /// Text for standard output, or for standard error if the command failed.
    pub text: String,
    /// Exit code of the process.
    pub code: ExitCode,
}

impl CommandResult {
    fn new(text: impl Into<String>, code: ExitCode) -> Self {
        Self {
            text: text.into(),
            code,
        }
    }

    fn usage(text: impl Into<String>) -> Self {
        Self::new(text, ExitCode::Usage)
    }
}

/// Runs a command and returns the text to print with the exit code.
pub async fn run(arguments: Arguments) -> CommandResult {
    let token = match read_token(&arguments) {
        Ok(token) => token,
        Err(result) => return result,
    };
    let client = OperatorClient::new(arguments.daemon, token);
    let json = arguments.json;
    match arguments.command {
        Command::Status(_) => status(&client, json).await,
        Command::Confirm(confirm) => confirm_plan(&client, &confirm.plan, json).await,
        other => match requested_change(other) {
            Ok((change, save)) => plan(&client, change, &save, json).await,
            Err(result) => result,
        },
    }
}

fn read_token(arguments: &Arguments) -> Result<String, CommandResult> {
    let path = &arguments.token_file;
    let text = fs::read_to_string(path).map_err(|error| {
        let path = path.display();
        CommandResult::usage(format!(
            "failed to read token file {path}: {error}; specify it with --token-file"
        ))
    })?;
    Ok(text.trim().to_owned())
}

/// Returns the change that a command requests, and the path to save its plan to.
fn requested_change(command: Command) -> Result<(Change, std::path::PathBuf), CommandResult> {
    Ok(match command {
        Command::Intent(intent) => {
            let change = Change::Intent {
                model: ModelName::new(&intent.model),
                version: ModelVersion::new(&intent.version),
                replicas: intent.replicas,
                hosts_per_replica: intent.hosts_per_replica,
                owner: Customer::new(&intent.owner),
            };
            (change, intent.save)
        }
        Command::Remove(remove) => {
            let model = ModelName::new(&remove.model);
            (Change::Remove { model }, remove.save)
        }
        Command::Shares(shares) => {
            let change = Change::Share {
                customer: Customer::new(&shares.customer),
                share: shares.share,
            };
            (change, shares.save)
        }
        Command::Roll(roll) => {
            let change = Change::Roll {
                model: ModelName::new(&roll.model),
                version: ModelVersion::new(&roll.version),
            };
            (change, roll.save)
        }
        Command::Drain(drain) => {
            let host = HostId::new(&drain.host);
            let change = if drain.undo {
                Change::Undrain { host }
            } else {
                Change::Drain { host }
            };
            (change, drain.save)
        }
        Command::Evacuate(evacuate) => {
            let domain = FailureDomain::new(&evacuate.domain);
            let change = if evacuate.undo {
                Change::Restore { domain }
            } else {
                Change::Evacuate { domain }
            };
            (change, evacuate.save)
        }
        Command::Configure(configure) => {
            let configuration = read_configuration(&configure.file)?;
            let change = Change::Configure(Box::new(configuration));
            (change, configure.save)
        }
        Command::Plan(plan) => {
            let change = read_json(&plan.change, "a change as described in docs/INTERFACES.md")?;
            (change, plan.save)
        }
        Command::Status(_) | Command::Confirm(_) => {
            return Err(CommandResult::usage(
                "this command does not request a change",
            ));
        }
    })
}

fn read_configuration(path: &Path) -> Result<Configuration, CommandResult> {
    read_json(
        path,
        "a configuration as described in docs/CONFIGURATION.md",
    )
}

fn read_json<T: serde::de::DeserializeOwned>(path: &Path, what: &str) -> Result<T, CommandResult> {
    let display = path.display();
    let text = fs::read_to_string(path)
        .map_err(|error| CommandResult::usage(format!("failed to read {display}: {error}")))?;
    serde_json::from_str(&text).map_err(|error| {
        CommandResult::usage(format!(
            "{display} is not {what}: {error}; correct the file there"
        ))
    })
}

async fn plan(client: &OperatorClient, change: Change, save: &Path, json: bool) -> CommandResult {
    let answer = match client.plan(&change).await {
        Ok(answer) => answer,
        Err(error) => return call_error_result(&error),
    };
    if let OperatorAnswer::Planned(plan) = &answer
        && let Err(error) = save_plan(plan, save)
    {
        return error;
    }
    answer_result(&answer, Some(save), json)
}

fn save_plan(plan: &Plan, path: &Path) -> Result<(), CommandResult> {
    let text = serde_json::to_string_pretty(plan).unwrap_or_default();
    fs::write(path, text).map_err(|error| {
        let path = path.display();
        CommandResult::usage(format!(
            "failed to save the plan to {path}: {error}; specify another file with --save"
        ))
    })
}

async fn confirm_plan(client: &OperatorClient, path: &Path, json: bool) -> CommandResult {
    let plan: Plan = match read_json(path, "a saved plan") {
        Ok(plan) => plan,
        Err(result) => return result,
    };
    let confirm = Confirm {
        operation: operation_id(&plan),
        base: plan.base,
        digest: plan.digest,
        change: plan.change,
    };
    match client.confirm(&confirm).await {
        Ok(answer) => answer_result(&answer, None, json),
        Err(error) => call_error_result(&error),
    }
}

/// Derives the operation ID from the digest of the plan, so that the daemon recognizes a repeated
/// confirm of the same plan.
fn operation_id(plan: &Plan) -> OperationId {
    const DIGITS: usize = 16;
    let digits = plan.digest.get(..DIGITS).unwrap_or_default();
    OperationId(u64::from_str_radix(digits, 16).unwrap_or_default())
}

async fn status(client: &OperatorClient, json: bool) -> CommandResult {
    match client.status().await {
        Ok(status) if json => {
            let text = serde_json::to_string_pretty(&status).unwrap_or_default();
            CommandResult::new(text, ExitCode::Done)
        }
        Ok(status) => CommandResult::new(render::status(&status), ExitCode::Done),
        Err(error) => call_error_result(&error),
    }
}

fn call_error_result(error: &CallError) -> CommandResult {
    let code = match error {
        CallError::Unauthorized => ExitCode::Unauthorized,
        CallError::Unreachable(_) | CallError::Unreadable => ExitCode::Unavailable,
        CallError::Refused { .. } => ExitCode::Usage,
        CallError::NoAnswer(_) => ExitCode::Unclear,
    };
    CommandResult::new(error.to_string(), code)
}

fn answer_result(answer: &OperatorAnswer, saved: Option<&Path>, json: bool) -> CommandResult {
    let code = match answer {
        OperatorAnswer::Planned(_) | OperatorAnswer::Confirmed { .. } => ExitCode::Done,
        OperatorAnswer::OutOfDate { .. } => ExitCode::OutOfDate,
        OperatorAnswer::Refused(_) => ExitCode::Refused,
        OperatorAnswer::PlatformUnavailable => ExitCode::Unavailable,
        OperatorAnswer::Unclear => ExitCode::Unclear,
    };
    let text = if json {
        serde_json::to_string_pretty(answer).unwrap_or_default()
    } else {
        render::answer(answer, saved)
    };
    CommandResult::new(text, code)
}
