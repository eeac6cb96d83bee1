//! Events that drive a daemon's decisions, actions that result from them, and peer messages.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::admission::counted_event::CountedEvent;
use super::claim_witnesses::ClaimsNotice;
use super::demand::WorkReport;
use super::engine::{EngineStatus, NoStatus, Order, OrderReply};
use super::fingerprint::Fingerprint;
use super::fleet_state::{ObjectUpdate, VersionDigest};
use super::forward::{Forward, ForwardEnd, ForwardedMeta};
use super::membership::{Gossip, Heartbeat};
use super::operator::{OperatorAnswer, OperatorCall, OperatorCallId};
use super::permits::{LimitReport, PermitGrant, PermitRequest};
use super::platform::{CallId, PlatformCall, PlatformResult};
use super::router::request::{Attempt, AttemptEnd, Outcome, RequestMeta, UpstreamId};
use super::signal::UpstreamSignal;
use super::trials::{TrialGrant, TrialRequest};
use super::types::{
    Address, AttemptId, FailureDomain, GroupNumber, HostId, ReplicaId, RequestId, Timestamp,
    Version,
};

/// Identifies a peer's pull request that has not been answered yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PullId(pub u64);

/// Request of a daemon to a peer for newer state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Pull {
    /// The sender's view of the membership.
    pub gossip: Gossip,
    /// Which state is requested.
    pub topic: PullTopic,
    /// Object versions that the sender has.
    pub digest: VersionDigest,
    /// Replicas that the sender saw lose a member; meant for the lease holder of their failure
    /// domain.
    pub suspects: Vec<ReplicaId>,
    /// Load that arrived at the sender and at other daemons; only with [`PullTopic::All`].
    #[serde(default)]
    pub work: Vec<WorkReport>,
}

/// Which state a pull requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PullTopic {
    /// Membership and objects.
    All,
    /// Objects alone; pulled often, so messages must be small.
    Objects,
    /// Replicas of the sender's failure domain that recently produced output.
    Moving,
    /// Objects sent in full rather than as changes; pulled from one peer at a time, as they may
    /// be large.
    WholeObjects,
}

/// Reply to a pull.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PullReply {
    /// The replying daemon's view of the membership.
    pub gossip: Gossip,
    /// Versions of the objects in force at the replying daemon.
    pub digest: VersionDigest,
    /// Objects that are newer at the replying daemon, as far as the topic covers them.
    pub updates: Vec<ObjectUpdate>,
    /// How long ago the platform last confirmed the configuration in force at the replying
    /// daemon, in milliseconds, measured from before the platform was queried.
    #[serde(default)]
    pub confirmed_ms_ago: Option<u64>,
    /// How long ago the platform last answered the daemon from which the replying daemon's host
    /// list originates, in milliseconds.
    #[serde(default)]
    pub hosts_ms_ago: Option<u64>,
    /// The newest store revision known to the replying daemon.
    #[serde(default)]
    pub reached: Option<ReachedRevision>,
    /// Load that arrived at the replying daemon and at others; only for [`PullTopic::All`].
    #[serde(default)]
    pub work: Vec<WorkReport>,
    /// Replicas of the pulling daemon's failure domain from which the replying daemon recently
    /// received output; only for [`PullTopic::Moving`].
    #[serde(default)]
    pub moving: Vec<LastOutput>,
    /// Requests in quarantine; only for [`PullTopic::All`].
    #[serde(default)]
    pub quarantine: QuarantineReport,
}

/// State exchanged about requests that crash the upstreams that run them. Ages are in
/// milliseconds, rounded up.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineReport {
    /// Attempts lost without a response, for the daemons that count them.
    pub losses: Vec<LossReport>,
    /// Requests in quarantine.
    pub quarantined: Vec<QuarantinedReport>,
    /// Requests that completed and therefore must not be quarantined.
    pub completions: Vec<CompletionReport>,
    /// Trial requests to the daemon that owns the target's trials.
    pub trials_asked: Vec<TrialRequest>,
    /// Trials granted by that daemon.
    pub trials_granted: Vec<TrialGrant>,
    /// Sets of suspects of which at least one crashes upstreams.
    #[serde(default)]
    pub culprit_sets: Vec<CulpritSetReport>,
}

/// Attempts whose upstream was lost before it answered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LossReport {
    /// Fingerprints of the requests and of the parts of their prompts.
    pub fingerprints: Vec<Fingerprint>,
    /// The upstream that ran them, or may have run them.
    pub upstream: UpstreamId,
    /// How long ago the attempts were lost, in milliseconds.
    pub ms_ago: u64,
}

/// A request in quarantine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantinedReport {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Age of the first of the losses that led to the quarantine, in milliseconds.
    pub first_lost_ms_ago: u64,
    /// Age of the last of these losses, in milliseconds.
    pub last_lost_ms_ago: u64,
    /// Whether a trial proved that the request crashes upstreams; otherwise it is suspected.
    pub is_proven: bool,
}

/// What a request held when its trial crashed an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CulpritSetReport {
    /// Fingerprints of the suspects.
    pub subjects: Vec<Fingerprint>,
    /// Age of the first of the losses that led to the trial, in milliseconds.
    pub first_lost_ms_ago: u64,
    /// Age of the loss of the trial's upstream, in milliseconds.
    pub last_lost_ms_ago: u64,
}

/// A request that an upstream answered completely.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletionReport {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// How long ago the response was complete, in milliseconds.
    pub ms_ago: u64,
}

/// When a daemon last received output from a replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LastOutput {
    /// The replica.
    pub replica: ReplicaId,
    /// Age of the output in milliseconds, rounded up.
    pub ms_ago: u64,
}

/// A revision that the platform's store had reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReachedRevision {
    /// The revision.
    pub revision: Version,
    /// How long ago the platform was queried, in milliseconds.
    pub ms_ago: u64,
}

/// Gossip notice that newer state is available to pull.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Notice {
    /// Address of the sender, from which the state can be pulled.
    pub from: Address,
    /// Object versions that the sender has.
    pub digest: VersionDigest,
    /// Replicas that have lost a member, as established by the lease holder of their failure
    /// domain.
    #[serde(default)]
    pub lost: Vec<ReplicaId>,
    /// Reports of requests that crash the upstreams that run them.
    #[serde(default)]
    pub quarantine: QuarantineReport,
    /// Messages about upstreams that advertise a rate limit.
    #[serde(default)]
    pub limits: LimitsNotice,
    /// Messages about claims that peers remember.
    #[serde(default)]
    pub claims: ClaimsNotice,
    /// Replicas with a member that currently answers nothing, as established by the lease holder
    /// of their failure domain. Repeated while the silence lasts.
    #[serde(default)]
    pub silent: Vec<ReplicaId>,
}

/// Messages between daemons about rate limits that upstreams advertise. Each limit is owned by
/// one daemon.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LimitsNotice {
    /// To a limit's owner: limits stated in responses.
    pub told: Vec<LimitReport>,
    /// To a limit's owner: requests for permits.
    pub asked: Vec<PermitRequest>,
    /// From a limit's owner: limits that began or ended.
    pub in_force: Vec<LimitReport>,
    /// From a limit's owner: granted permits.
    pub granted: Vec<PermitGrant>,
    /// To a daemon that takes another one for a limit's owner: the owner.
    #[serde(default)]
    pub owners: Vec<LimitOwner>,
}

/// The owner of the limit of an upstream, as a member of the upstream's failure domain knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitOwner {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Failure domain of the upstream.
    pub failure_domain: FailureDomain,
    /// Heartbeat of the owner.
    pub owner: Heartbeat,
}

/// Which module requested an engine's status, and for what.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StatusPurpose {
    /// The router, to learn an upstream's load.
    Report(UpstreamId),
    /// The controller, to check a group's health.
    Probe(GroupNumber),
}

/// Input to a daemon's decisions.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Time passed; sent about every [`super::daemon::TICK`].
    Tick,
    /// A platform call completed or failed.
    Platform {
        /// The call.
        call: CallId,
        /// The reply, or that none came.
        result: PlatformResult,
    },
    /// A peer sent a pull.
    PullReceived {
        /// Identifies the pull in the reply.
        pull_id: PullId,
        /// The pull.
        pull: Pull,
    },
    /// A pull from a peer completed or failed.
    PullAnswered {
        /// The topic of the pull.
        topic: PullTopic,
        /// When the pull was sent.
        asked_at: Timestamp,
        /// The reply; `None` if the peer did not answer.
        reply: Option<PullReply>,
    },
    /// A peer sent a notice.
    NoticeReceived(Notice),
    /// A status request to an engine completed or failed.
    Status {
        /// Why the status was requested.
        purpose: StatusPurpose,
        /// When the status was requested.
        asked_at: Timestamp,
        /// The engine's host, where it is known.
        host: Option<HostId>,
        /// The status, or why there is none.
        status: Result<EngineStatus, NoStatus>,
    },
    /// An order to an engine completed or failed.
    OrderAnswered {
        /// The host.
        host: HostId,
        /// The order.
        order: Order,
        /// When the order was sent.
        asked_at: Timestamp,
        /// The reply; `None` if the engine did not answer.
        reply: Option<OrderReply>,
    },
    /// A request arrived from a caller whose customer is known.
    Request {
        /// Id assigned by the process that drives the core.
        request: RequestId,
        /// The request's properties that the core needs.
        meta: RequestMeta,
    },
    /// A peer handed a request to this daemon.
    ForwardReceived {
        /// Id assigned by the process that drives the core.
        request: RequestId,
        /// The request's properties that the core needs.
        meta: ForwardedMeta,
    },
    /// An attempt to have a peer run a request ended.
    ForwardEnded {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptId,
        /// How the attempt ended.
        end: ForwardEnd,
    },
    /// The first output of an attempt was passed to the caller.
    FirstOutput {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptId,
    },
    /// An attempt that had begun to produce output produced more.
    Progress {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptId,
    },
    /// The response head of an attempt arrived.
    Signal {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptId,
        /// What the response head states about the upstream.
        signal: UpstreamSignal,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptId,
        /// How the attempt ended.
        end: AttemptEnd,
    },
    /// The connection check of an upstream completed.
    UpstreamChecked {
        /// The upstream.
        upstream: UpstreamId,
        /// Whether its host refused the connection, as no process listens there any more. An
        /// upstream that does not respond may just be unreachable, which is no evidence that a
        /// request crashed it.
        is_gone: bool,
    },
    /// The probe of an upstream that could not be connected to completed.
    UpstreamProbed {
        /// The upstream.
        upstream: UpstreamId,
        /// Whether it accepted a connection.
        is_reachable: bool,
    },
    /// A caller disconnected before it received its answer.
    CallerLeft(RequestId),
    /// An operator's call arrived.
    Operator {
        /// Identifies the call in the answer.
        call_id: OperatorCallId,
        /// The call.
        call: OperatorCall,
    },
    /// The daemon will stop soon: it reports itself as not ready and takes on no more duties.
    Leave,
    /// The daemon is to stop once its running requests have ended.
    Stop,
}

/// Output of a daemon's decisions, to be carried out by the process that drives the core.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Call the platform.
    Platform {
        /// Identifies the call in [`Event::Platform`].
        call: CallId,
        /// The call.
        request: PlatformCall,
    },
    /// Send a pull to a peer.
    Pull {
        /// The peer's address.
        to: Address,
        /// The pull.
        pull: Pull,
    },
    /// Reply to a peer's pull.
    AnswerPull {
        /// The pull that is answered.
        pull_id: PullId,
        /// The reply.
        reply: PullReply,
    },
    /// Send a notice to a peer.
    Notify {
        /// The peer's address.
        to: Address,
        /// The notice.
        notice: Notice,
    },
    /// Request an engine's status; answered by [`Event::Status`].
    RequestStatus {
        /// Why the status is requested.
        purpose: StatusPurpose,
        /// The engine's host, where it is known.
        host: Option<HostId>,
        /// Address at which the engine listens.
        address: Address,
    },
    /// Send an order to an engine, unless `valid_until` has been reached.
    Order {
        /// The host.
        host: HostId,
        /// Address at which the engine listens.
        address: Address,
        /// The order.
        order: Order,
        /// When the lease under which the order is given ends.
        valid_until: Timestamp,
    },
    /// Send a request to an upstream.
    Send(Attempt),
    /// Hand a request to a peer; always answered by [`Event::ForwardEnded`], unless it is cancelled.
    Forward(Forward),
    /// Cancel a running attempt, at an upstream or by a peer.
    CancelAttempt(AttemptId),
    /// Check whether an upstream can be connected to; always answered by
    /// [`Event::UpstreamProbed`].
    ProbeUpstream {
        /// The upstream.
        upstream: UpstreamId,
        /// Address at which it listens.
        address: Address,
    },
    /// Check whether an upstream still accepts connections; always answered by
    /// [`Event::UpstreamChecked`].
    CheckUpstream {
        /// The upstream.
        upstream: UpstreamId,
        /// Address at which it listened.
        address: Address,
    },
    /// Send the final answer to a caller.
    Answer {
        /// The request.
        request: RequestId,
        /// The outcome of the request.
        outcome: Outcome,
    },
    /// Answer an operator.
    AnswerOperator {
        /// The call that is answered.
        call_id: OperatorCallId,
        /// The answer.
        answer: OperatorAnswer,
    },
    /// Count an event of the order among requests.
    Count(CountedEvent),
    /// Write a line to the log.
    Log(LogLine),
    /// All requests have ended; the process may exit.
    Stopped,
}

/// One line of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogLine {
    /// The component that logs the line.
    pub component: Component,
    /// The message, without the component's prefix.
    pub text: String,
}

/// Components of a daemon, each with a log prefix of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Component {
    /// Routing decisions.
    Route,
    /// Placement decisions.
    Place,
    /// Acquisition and loss of control leases.
    Lease,
    /// The platform's store and its eras.
    Platform,
    /// Configuration and other objects that come into force.
    Config,
    /// Calls of operators.
    Operator,
    /// Claims of idempotency keys.
    Claim,
    /// Start and stop of the daemon.
    Daemon,
}

impl Component {
    /// The prefix of the component's log lines.
    pub fn prefix(self) -> &'static str {
        match self {
            Self::Route => "route",
            Self::Place => "place",
            Self::Lease => "lease",
            Self::Platform => "platform",
            Self::Config => "config",
            Self::Operator => "operator",
            Self::Claim => "claim",
            Self::Daemon => "daemon",
        }
    }
}

/// How long the daemon waits for responses from other processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeouts {
    /// Timeout of a call to the platform.
    pub platform: Duration,
    /// Timeout of a status request or an order to an engine.
    pub engine: Duration,
    /// Timeout of a pull from, or a notice to, a peer.
    pub peer: Duration,
}

impl Default for Timeouts {
    fn default() -> Self {
        Self {
            platform: Duration::from_secs(2),
            engine: Duration::from_secs(1),
            peer: Duration::from_secs(1),
        }
    }
}
