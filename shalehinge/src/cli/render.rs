//! Renders plans and status as text.

use std::path::Path;

use crate::core::objects::GroupPhase;
use crate::core::operator::{OperatorAnswer, Plan};
use crate::operator_api::{DomainStatus, FleetStatus};

/// Renders the answer to a plan or confirm. `saved` is the path that a plan was saved to.
pub fn answer(answer: &OperatorAnswer, saved: Option<&Path>) -> String {
    match answer {
        OperatorAnswer::Planned(plan) => {
            let mut text = self::plan(plan);
            if let Some(path) = saved {
                let path = path.display();
                text.push_str(&format!(
                    "Nothing has changed. To apply this plan: shalehinge confirm {path}\n"
                ));
            }
            text
        }
        OperatorAnswer::Confirmed { version } => format!(
            "Accepted as version {}. The change is stored and takes effect everywhere within seconds.\n",
            version
        ),
        OperatorAnswer::OutOfDate { version, plan } => {
            let mut text = format!(
                "Nothing has changed: the plan is out of date, the fleet is now at version {}.\n",
                version
            );
            if let Some(plan) = plan {
                text.push_str("Plan again. The plan would now be:\n");
                text.push_str(&self::plan(plan));
            }
            text
        }
        OperatorAnswer::Refused(error) => format!("Nothing has changed: {error}.\n"),
        OperatorAnswer::PlatformUnavailable => {
            "Nothing has changed: the platform is not responding. Try again later.\n".to_owned()
        }
        OperatorAnswer::Unclear => {
            "It is unknown whether the plan was accepted. Confirm it again: it takes effect at most once.\n"
                .to_owned()
        }
    }
}

/// Renders a plan with its effects in each failure domain.
pub fn plan(plan: &Plan) -> String {
    let mut text = format!("Plan on version {} of the fleet\n", plan.base);
    for (domain, effects) in &plan.effects {
        text.push_str(&format!("{domain}:\n"));
        for (index, step) in effects.steps.iter().enumerate() {
            text.push_str(&format!("  {}. {step}\n", index + 1));
        }
        if effects.steps.is_empty() {
            text.push_str("  no steps\n");
        }
        text.push_str(&format!(
            "  group downtime: about {} replica loads; weight store: {} host loads; stranded accelerators: {} before, {} after\n",
            effects.downtime_loads, effects.loads, effects.stranded_before, effects.stranded_after
        ));
        for (model, missing) in &effects.missing {
            text.push_str(&format!(
                "  {missing} replicas of {model} will be missing, because no complete group can be formed\n"
            ));
        }
    }
    text
}

/// Renders the status of the fleet.
pub fn status(status: &FleetStatus) -> String {
    let mut text = format!(
        "Fleet at version {}, as known to {}\n",
        status.version, status.daemon
    );
    text.push_str("Daemons (configuration in force):\n");
    for daemon in &status.daemons {
        let leaving = if daemon.leaving {
            ", shutting down"
        } else {
            ""
        };
        text.push_str(&format!(
            "  {} in {}: version {}{leaving}\n",
            daemon.daemon, daemon.failure_domain, daemon.version
        ));
    }
    text.push_str("Models:\n");
    for model in &status.models {
        text.push_str(&format!(
            "  {} {}: {} wanted, {} serving, {} eligible at this daemon\n",
            model.model, model.version, model.wanted, model.serving, model.eligible_here
        ));
    }
    for (name, domain) in &status.domains {
        text.push_str(&domain_status(name.as_str(), domain));
    }
    for (customer, share) in &status.shares {
        text.push_str(&format!("Share of {customer}: {share}\n"));
    }
    for host in &status.draining {
        text.push_str(&format!("Draining: {host}\n"));
    }
    for domain in &status.evacuated {
        text.push_str(&format!("Evacuated: {domain}\n"));
    }
    text
}

fn domain_status(name: &str, domain: &DomainStatus) -> String {
    let holder = domain.holder.as_ref();
    let holder = holder.map_or("unknown to this daemon".to_owned(), ToString::to_string);
    let mut text = format!(
        "{name}: {} hosts, {} free, {} accelerators stranded, control: {holder}\n",
        domain.hosts, domain.free_hosts, domain.stranded_accelerators
    );
    for group in &domain.groups {
        let hosts: Vec<&str> = group.hosts.iter().map(|host| host.as_str()).collect();
        let phase = match group.phase {
            GroupPhase::Forming => "forming",
            GroupPhase::Serving => "serving",
            GroupPhase::Retiring => "retiring",
        };
        let routing = match group.in_routing {
            Some(true) => ", in routing here",
            Some(false) => ", not in routing here",
            None => "",
        };
        text.push_str(&format!(
            "  group {}: {} {} {phase}{routing} on {}\n",
            group.number.0,
            group.model,
            group.version,
            hosts.join(" ")
        ));
    }
    for host in &domain.releasing {
        text.push_str(&format!("  {host} has not yet released its group\n"));
    }
    text
}
