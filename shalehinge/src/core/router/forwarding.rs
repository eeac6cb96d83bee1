//! Hands requests to peers while this daemon can't connect to the upstreams of their target.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::seq::IteratorRandom;

use crate::core::forward::{Forward, ForwardEnd, ForwardedMeta};
use crate::core::types::{Address, AttemptId, RequestId, Timestamp};

use super::connectivity::{Connectivity, ConnectivityChange};
use super::dispatch::{Router, RouterAction};
use super::request::{NotRunReason, Outcome, Target, UnknownReason, UpstreamId};
use super::retries::RetryCost;
use super::target::Pending;

/// Maximum number of peers to which a request is handed, one after the other.
const MAX_PEERS: usize = 24;
/// How long a peer gets no requests after it was found unable to run one.
const UNABLE_FOR: Duration = Duration::from_secs(1);

/// Number of peers of the own failure domain in a row that must be unable to run a request before
/// those of other domains are preferred.
const MAX_LOCAL_FAILURES: u32 = 2;
/// How long peers of other failure domains are then preferred.
const AVOID_LOCAL_FOR: Duration = Duration::from_secs(2);

/// A peer that may run requests for this daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ForwardPeer {
    /// Address of the peer.
    pub address: Address,
    /// Whether it is in this daemon's failure domain.
    pub is_local: bool,
}

/// A request that a peer runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RunningForward {
    /// Id of the attempt.
    pub(super) id: AttemptId,
    /// The peer.
    pub(super) peer: Address,
    /// Number of attempts that the peer may have run at upstreams.
    pub(super) max_runs: u32,
}

/// The peers that may run requests for this daemon.
#[derive(Clone, Debug, Default)]
pub struct ForwardPeers {
    peers: Vec<ForwardPeer>,
    /// Peers that could not run a request, and until when they get none.
    unable_until: BTreeMap<Address, Timestamp>,
    /// Number of peers of this failure domain that could not run a request since one could.
    local_failures: u32,
    /// Until when peers of other failure domains are preferred.
    avoids_local_until: Timestamp,
}

impl ForwardPeers {
    /// Sets the peers that are alive and reach upstreams, as far as is known.
    pub fn set(&mut self, now: Timestamp, peers: Vec<ForwardPeer>) {
        self.peers = peers;
        self.unable_until.retain(|_, until| now < *until);
    }

    /// Whether any peer may run a request.
    pub(super) fn has_usable(&self, now: Timestamp) -> bool {
        self.usable(now).next().is_some()
    }

    fn usable(&self, now: Timestamp) -> impl Iterator<Item = &ForwardPeer> {
        self.peers.iter().filter(move |peer| {
            let until = self.unable_until.get(&peer.address);
            until.is_none_or(|until| now >= *until)
        })
    }

    /// Records that a peer ran a request.
    fn record_able(&mut self, peer: Address) {
        if self.is_local(peer) {
            self.local_failures = 0;
            self.avoids_local_until = Timestamp::ZERO;
        }
    }

    /// Records that a peer could not run a request. Returns whether it was usable before.
    fn record_unable(&mut self, now: Timestamp, peer: Address) -> bool {
        if self.is_local(peer) {
            self.local_failures += 1;
            if self.local_failures >= MAX_LOCAL_FAILURES {
                self.avoids_local_until = now + AVOID_LOCAL_FOR;
            }
        }
        let known = self.unable_until.insert(peer, now + UNABLE_FOR);
        known.is_none_or(|known| now >= known)
    }

    fn is_local(&self, peer: Address) -> bool {
        let mut peers = self.peers.iter();
        peers.any(|known| known.address == peer && known.is_local)
    }

    /// Chooses a peer at random, one of this failure domain if there is any, unless those that were
    /// asked last could run nothing.
    fn choose(
        &self,
        now: Timestamp,
        tried: &[Address],
        rng: &mut impl rand::Rng,
    ) -> Option<Address> {
        let untried = || {
            let usable = self.usable(now);
            usable.filter(|peer| !tried.contains(&peer.address))
        };
        let prefers_local = now >= self.avoids_local_until;
        let preferred = untried().filter(|peer| peer.is_local == prefers_local);
        let chosen = preferred.choose(rng).or_else(|| untried().choose(rng))?;
        Some(chosen.address)
    }
}

/// Chooses the peer that runs the request instead of this daemon; `None` if this daemon is to send
/// it to an upstream itself.
pub(super) fn choose_peer(
    connectivity: &Connectivity,
    peers: &ForwardPeers,
    now: Timestamp,
    pending: &Pending,
    rng: &mut impl rand::Rng,
) -> Option<Address> {
    let direct_share = connectivity.direct_share(now, &pending.meta.target);
    let may_be_forwarded = !pending.is_forwarded && pending.peers_tried.len() < MAX_PEERS;
    let is_direct = direct_share >= 1.0 || (direct_share > 0.0 && rng.random_bool(direct_share));
    if is_direct || !may_be_forwarded {
        return None;
    }
    peers.choose(now, &pending.peers_tried, rng)
}

impl Router {
    /// Sets the peers that may run requests for this daemon.
    pub fn set_forward_peers(&mut self, now: Timestamp, peers: Vec<ForwardPeer>) {
        self.forward_peers.set(now, peers);
    }

    /// Whether this daemon can't connect to any upstream.
    pub fn is_isolated(&self) -> bool {
        self.connectivity.is_isolated()
    }

    /// Whether a new request for the target would be handed to a peer.
    pub(super) fn can_forward(&self, now: Timestamp, target: &Target) -> bool {
        self.connectivity.is_cut_off(target) && self.forward_peers.has_usable(now)
    }

    /// Hands a request to a peer.
    pub(super) fn forward(
        &mut self,
        now: Timestamp,
        request: RequestId,
        peer: Address,
        out: &mut Vec<RouterAction>,
    ) {
        let attempt = self.next_attempt_id();
        let Some(pending) = self.pending.get_mut(&request) else {
            return;
        };
        let max_attempts = pending.runs_left();
        let meta = ForwardedMeta::new(now, &pending.meta, max_attempts);
        pending.peers_tried.push(peer);
        pending.forwarded = Some(RunningForward {
            id: attempt,
            peer,
            max_runs: max_attempts.unwrap_or(1),
        });
        out.push(RouterAction::Log(format!(
            "request {} of {} is handed to the peer at {peer}, as no upstream of {} can be reached from here",
            request.0, pending.meta.customer, pending.meta.target
        )));
        out.push(RouterAction::Forward(Forward {
            request,
            attempt,
            peer,
            meta,
        }));
    }

    /// Handles the end of an attempt to have a peer run a request.
    pub fn on_forward_ended(
        &mut self,
        now: Timestamp,
        request: RequestId,
        attempt: AttemptId,
        end: ForwardEnd,
        rng: &mut impl rand::Rng,
        out: &mut Vec<RouterAction>,
    ) {
        let Some(pending) = self.pending.get_mut(&request) else {
            return;
        };
        let Some(forwarded) = pending.forwarded.take_if(|known| known.id == attempt) else {
            return;
        };
        let target = pending.meta.target.clone();
        let goes_on = pending.is_running();
        match end {
            ForwardEnd::Answered(Outcome::NotRun { reason, .. }) if is_unable(reason) => {
                self.mark_unable(now, forwarded.peer, &format!("{reason:?}"), out);
                self.forward_again(request);
            }
            ForwardEnd::NotSent => {
                self.mark_unable(now, forwarded.peer, "it can't be reached", out);
                self.forward_again(request);
            }
            ForwardEnd::Answered(outcome) if goes_on && outcome != Outcome::Completed => {
                if !matches!(outcome, Outcome::NotRun { .. }) {
                    pending.possible_runs += forwarded.max_runs;
                    pending.earlier_outcome = Some(outcome);
                }
                self.forward_peers.record_able(forwarded.peer);
            }
            ForwardEnd::Answered(outcome) => {
                self.forward_peers.record_able(forwarded.peer);
                self.answer(request, outcome, out);
            }
            ForwardEnd::Lost => {
                let reason = UnknownReason::Lost;
                let outcome = Outcome::Unknown { reason };
                pending.possible_runs += forwarded.max_runs;
                pending.earlier_outcome = Some(outcome);
                self.mark_unable(now, forwarded.peer, "its answer broke off", out);
                if !goes_on {
                    self.retry_or_answer(now, request, outcome, RetryCost::One, rng, out);
                }
            }
        }
        self.dispatch(now, &target, rng, out);
    }

    fn mark_unable(
        &mut self,
        now: Timestamp,
        peer: Address,
        reason: &str,
        out: &mut Vec<RouterAction>,
    ) {
        if self.forward_peers.record_unable(now, peer) {
            out.push(RouterAction::Log(format!(
                "the peer at {peer} gets no requests of this daemon for a while: {reason}"
            )));
        }
    }

    /// Queues a request that no peer has run so far, unless it runs at an upstream.
    fn forward_again(&mut self, request: RequestId) {
        let Some(pending) = self.pending.get(&request) else {
            return;
        };
        if pending.is_running() {
            return;
        }
        if let Some(state) = self.targets.get_mut(&pending.meta.target) {
            state.enqueue(request, pending, self.settings.timely_first);
            self.waiting += 1;
        }
    }

    /// Records whether a probe could connect to an upstream.
    pub fn on_probed(
        &mut self,
        now: Timestamp,
        upstream: &UpstreamId,
        is_reachable: bool,
        rng: &mut impl rand::Rng,
        out: &mut Vec<RouterAction>,
    ) {
        let Some((target, _)) = self.find(upstream) else {
            return;
        };
        let change = self.connectivity.record_probe(now, &target, is_reachable);
        self.log_connectivity(&target, change, out);
        self.dispatch(now, &target, rng, out);
    }

    /// Probes an upstream of each cut-off target.
    pub(super) fn probe_cut_off(
        &mut self,
        now: Timestamp,
        rng: &mut impl rand::Rng,
        out: &mut Vec<RouterAction>,
    ) {
        for target in self.connectivity.probes_due(now, rng) {
            let state = self.targets.get(&target);
            let upstreams = state.into_iter().flat_map(|state| &state.upstreams);
            let present = upstreams.filter(|upstream| upstream.is_present(now));
            if let Some(upstream) = present.choose(rng) {
                out.push(RouterAction::ProbeUpstream {
                    upstream: upstream.spec.id.clone(),
                    address: upstream.spec.address,
                });
            }
        }
    }

    /// Records that an upstream could not be connected to by an attempt that was begun at
    /// `begun_at`.
    pub(super) fn record_not_connected(
        &mut self,
        now: Timestamp,
        target: &Target,
        upstream: &UpstreamId,
        begun_at: Timestamp,
        out: &mut Vec<RouterAction>,
    ) {
        let present = self.targets.get(target).map_or(0, |s| s.present(now));
        let change = self
            .connectivity
            .record_failure(now, target, upstream, begun_at, present);
        self.log_connectivity(target, change, out);
    }

    /// Records that an upstream responded to an attempt that was begun at `begun_at`.
    pub(super) fn record_contact(
        &mut self,
        now: Timestamp,
        target: &Target,
        begun_at: Timestamp,
        out: &mut Vec<RouterAction>,
    ) {
        let change = self.connectivity.record_contact(now, target, begun_at);
        self.log_connectivity(target, change, out);
    }

    fn log_connectivity(
        &self,
        target: &Target,
        change: ConnectivityChange,
        out: &mut Vec<RouterAction>,
    ) {
        let text = match change {
            ConnectivityChange::None => return,
            ConnectivityChange::CutOff => {
                format!("no upstream of {target} can be reached from here, peers run its requests")
            }
            ConnectivityChange::Returned => {
                format!("upstreams of {target} can be reached from here again")
            }
        };
        out.push(RouterAction::Log(text));
    }
}

/// Whether a peer that gave this reason can run no request at the moment.
fn is_unable(reason: NotRunReason) -> bool {
    match reason {
        NotRunReason::Unreachable
        | NotRunReason::Stopping
        | NotRunReason::UnknownTarget
        | NotRunReason::NoUpstream
        | NotRunReason::OutOfDate => true,
        NotRunReason::NoUpstreamInTime
        | NotRunReason::WouldBeLate
        | NotRunReason::QueueFull
        | NotRunReason::Refused
        | NotRunReason::ClaimUnavailable
        | NotRunReason::CallerLeft
        | NotRunReason::KeyTakenAway
        | NotRunReason::Quarantined => false,
    }
}
