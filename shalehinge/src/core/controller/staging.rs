//! Second weights on every host, so that groups can be formed anew without loads.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{CallPurpose, Controller, ControllerAction};
use crate::core::engine::Command;
use crate::core::objects::{Assignment, Group, GroupPhase, HostState, Member};
use crate::core::types::{Epoch, GroupNumber, HostId, ModelName, Timestamp};

/// Time between two orders to stage weights on the same host.
const STAGE_INTERVAL: Duration = Duration::from_secs(20);

/// Weights that should lie on a host; the most useful sorts first.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct StageWish {
    /// Members of the host's group; 0 for a free host.
    group_size: usize,
    host: HostId,
    model: ModelName,
}

impl Controller {
    /// Whether the host has the model's weights, or may load them now.
    pub(super) fn may_load(&mut self, now: Timestamp, host: &HostId, model: &ModelName) -> bool {
        let listed = self.listed.get(host);
        let is_staged = listed.is_some_and(|listed| listed.record.staged.contains(model));
        is_staged || self.listing.loads_are_free || self.loads.take(now)
    }

    /// A host joins a group of its last model at once, and one whose weights lie on it
    /// soon. So each host gets the weights of another model than its last: free hosts
    /// first, then members of the small groups, which give way to large ones.
    pub(super) fn stage_weights(
        &mut self,
        now: Timestamp,
        epoch: Epoch,
        value: &Assignment,
        actions: &mut Vec<ControllerAction>,
    ) {
        let forms = |group: &Group| group.phase == GroupPhase::Forming;
        if self.listing.loads_are_free && value.groups.values().any(forms) {
            // Until the first request groups come before second weights.
            return;
        }
        let mut wanted = self.wanted_weights(value);
        wanted.sort();
        for StageWish { host, model, .. } in wanted {
            let purpose = CallPurpose::Stage;
            let is_due = self.staged_at.get(&host).is_none_or(|at| now >= *at);
            if !is_due || !self.may_load(now, &host, &model) {
                continue;
            }
            self.staged_at.insert(host.clone(), now + STAGE_INTERVAL);
            self.note_call(now, &host, purpose);
            let address = self.listed[&host].record.address;
            let member = Member { host, address };
            let command = Command::Stage { model };
            actions.push(self.order(epoch, GroupNumber(0), &member, command));
        }
    }

    fn wanted_weights(&mut self, value: &Assignment) -> Vec<StageWish> {
        let strays = self.strays(value);
        let mut group_of: BTreeMap<&HostId, &Group> = BTreeMap::new();
        for group in value.groups.values() {
            for member in &group.members {
                group_of.insert(&member.host, group);
                self.last_model
                    .insert(member.host.clone(), group.model.clone());
            }
        }
        let listed = &self.listed;
        self.last_model.retain(|host, _| listed.contains_key(host));
        let sizes = self.plans.model_sizes();
        let mut wishes = Vec::new();
        for (host, listed) in &self.listed {
            let is_usable = listed.is_listed
                && listed.record.state == HostState::Live
                && !value.releasing.contains_key(host)
                && !strays.contains_key(host)
                && !self.unreachable.contains_key(host);
            let group = group_of.get(host);
            let is_busy = group.is_some_and(|group| group.phase != GroupPhase::Serving);
            let last = self.last_model.get(host);
            let of_service = sizes
                .iter()
                .filter(|(_, service, _)| listed.record.service.as_ref() == Some(service));
            let largest_other = of_service
                .filter(|(model, _, _)| last != Some(model))
                .max_by_key(|(_, _, size)| *size);
            let Some((model, _, _)) = largest_other.filter(|_| is_usable && !is_busy) else {
                continue;
            };
            if !listed.record.staged.contains(model) {
                wishes.push(StageWish {
                    group_size: group.map_or(0, |group| group.members.len()),
                    host: host.clone(),
                    model: model.clone(),
                });
            }
        }
        wishes
    }
}
