//! What goes into a daemon's decisions and what comes out.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::demand::WorkReport;
use super::engine::{EngineStatus, Order, OrderReply};
use super::fingerprint::Fingerprint;
use super::fleet_state::{ObjectUpdate, VersionDigest};
use super::membership::Gossip;
use super::operator::{OperatorAnswer, OperatorCall, OperatorCallId};
use super::permits::{LimitReport, PermitGrant, PermitRequest};
use super::platform::{CallId, PlatformCall, PlatformResult};
use super::router::request::{Attempt, AttemptEnd, Outcome, RequestMeta, UpstreamId};
use super::signal::UpstreamSignal;
use super::trials::{TrialGrant, TrialRequest};
use super::types::{
    Address, AttemptId, GroupNumber, HostId, ReplicaId, RequestId, Timestamp, Version,
};

/// Identifies a peer's pull that waits for its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PullId(pub u64);

/// A daemon asks a peer for what is new.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Pull {
    /// What the asker knows of the members.
    pub gossip: Gossip,
    /// What the asker wants to know.
    pub topic: PullTopic,
    /// Versions that the asker knows.
    pub digest: VersionDigest,
    /// Replicas that the asker saw lose a member; for whoever holds their domain.
    pub suspects: Vec<ReplicaId>,
    /// What arrived at the asker and others; only where members are asked for too.
    #[serde(default)]
    pub work: Vec<WorkReport>,
}

/// What a pull is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PullTopic {
    /// Members and objects.
    All,
    /// Objects alone: asked often, so that messages are to be small.
    Objects,
    /// Which replicas of the asker's failure domain bring output.
    Moving,
    /// Objects that are told whole: asked of one peer at a time, as they may be large.
    WholeObjects,
}

/// The answer to a pull.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PullReply {
    /// What the answerer knows of the members.
    pub gossip: Gossip,
    /// Versions of the objects in force there.
    pub digest: VersionDigest,
    /// Objects that are newer there, as far as the topic asks for them.
    pub updates: Vec<ObjectUpdate>,
    /// How long ago the platform last confirmed the configuration that is in force
    /// there, in milliseconds; counted from before the platform was asked.
    #[serde(default)]
    pub confirmed_ms_ago: Option<u64>,
    /// How long ago the platform last answered whoever the host list there comes from, in
    /// milliseconds.
    #[serde(default)]
    pub hosts_ms_ago: Option<u64>,
    /// The newest revision that the platform is known there to have reached.
    #[serde(default)]
    pub reached: Option<ReachedRevision>,
    /// What arrived at the answerer and others; only where members were asked for too.
    #[serde(default)]
    pub work: Vec<WorkReport>,
    /// Replicas of the asker's failure domain that brought the answerer output lately; only
    /// where they were asked for.
    #[serde(default)]
    pub moving: Vec<LastOutput>,
    /// Requests in quarantine; only where members were asked for too.
    #[serde(default)]
    pub quarantine: QuarantineReport,
}

/// What is known of requests that crash the upstreams that run them; ages in milliseconds,
/// rounded up.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineReport {
    /// Attempts that broke off, for those who count them.
    pub losses: Vec<LossReport>,
    /// Requests in quarantine.
    pub quarantined: Vec<QuarantinedReport>,
    /// Requests that must not be in quarantine.
    pub completions: Vec<CompletionReport>,
    /// To the owner of a target's trials.
    pub trials_asked: Vec<TrialRequest>,
    /// Of that owner.
    pub trials_granted: Vec<TrialGrant>,
}

/// An attempt that broke off at an upstream, without an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LossReport {
    /// What was asked.
    pub fingerprint: Fingerprint,
    /// Where it ran, or might have.
    pub upstream: UpstreamId,
    /// How long ago it broke off.
    pub ms_ago: u64,
}

/// A request in quarantine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantinedReport {
    /// What is asked.
    pub fingerprint: Fingerprint,
    /// How long ago the first of the losses was that decided it.
    pub first_lost_ms_ago: u64,
    /// How long ago the last of them was.
    pub last_lost_ms_ago: u64,
    /// Whether it was proven by a trial, or is only suspected.
    pub is_proven: bool,
}

/// A request that an upstream answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletionReport {
    /// What was asked.
    pub fingerprint: Fingerprint,
    /// How long ago the answer was whole.
    pub ms_ago: u64,
}

/// When a replica last brought a daemon output.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LastOutput {
    /// The replica.
    pub replica: ReplicaId,
    /// How long ago, in milliseconds, rounded up.
    pub ms_ago: u64,
}

/// That the platform had reached a revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReachedRevision {
    /// The revision.
    pub revision: Version,
    /// How long ago it was asked, in milliseconds.
    pub ms_ago: u64,
}

/// A rumour: there is something new, come and pull it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Notice {
    /// Where to pull from.
    pub from: Address,
    /// Versions known there.
    pub digest: VersionDigest,
    /// Replicas that surely lost a member, by whoever holds their failure domain.
    #[serde(default)]
    pub lost: Vec<ReplicaId>,
    /// What is new of requests that crash the upstreams that run them.
    #[serde(default)]
    pub quarantine: QuarantineReport,
    /// What is new of upstreams that name how many requests they take.
    #[serde(default)]
    pub limits: LimitsNotice,
}

/// What daemons tell each other of limits that upstreams name.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LimitsNotice {
    /// To a limit's owner: what an answer said.
    pub told: Vec<LimitReport>,
    /// To a limit's owner: who asks for permits.
    pub asked: Vec<PermitRequest>,
    /// Of a limit's owner: limits that began or ended.
    pub in_force: Vec<LimitReport>,
    /// Of a limit's owner: permits.
    pub granted: Vec<PermitGrant>,
}

/// Who asked for an engine's status.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StatusPurpose {
    /// The router, for a load report.
    Report(UpstreamId),
    /// The controller, for a group's health.
    Probe(GroupNumber),
}

/// Something happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Time passed; given about every [`super::daemon::TICK`].
    Tick,
    /// The platform answered, or did not.
    Platform {
        /// Which call.
        call: CallId,
        /// The answer.
        result: PlatformResult,
    },
    /// A peer pulls.
    PullReceived {
        /// Where the answer goes.
        pull_id: PullId,
        /// What it sent.
        pull: Pull,
    },
    /// A peer answered a pull, or did not.
    PullAnswered {
        /// What was asked.
        topic: PullTopic,
        /// When it was asked.
        asked_at: Timestamp,
        /// The answer.
        reply: Option<PullReply>,
    },
    /// A peer told that there is something new.
    NoticeReceived(Notice),
    /// An engine told its status, or did not answer.
    Status {
        /// Who asked.
        purpose: StatusPurpose,
        /// When it was asked.
        asked_at: Timestamp,
        /// Which host.
        host: Option<HostId>,
        /// The status.
        status: Option<EngineStatus>,
    },
    /// An engine answered an order, or did not.
    OrderAnswered {
        /// The host.
        host: HostId,
        /// The order.
        order: Order,
        /// When it was sent.
        asked_at: Timestamp,
        /// The answer.
        reply: Option<OrderReply>,
    },
    /// A caller's request came, of a customer that is known.
    Request {
        /// Its number, chosen by the shell.
        request: RequestId,
        /// What the core needs of it.
        meta: RequestMeta,
    },
    /// The first output of an attempt went to the caller.
    FirstOutput {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptId,
    },
    /// An attempt whose output had begun brought more of it.
    Progress {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptId,
    },
    /// The head of an attempt's answer came.
    Signal {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptId,
        /// What it states about the upstream.
        signal: UpstreamSignal,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptId,
        /// How.
        end: AttemptEnd,
    },
    /// It was looked whether an upstream is still there.
    UpstreamChecked {
        /// Which upstream.
        upstream: UpstreamId,
        /// Whether its host refused the connection, as nothing listens there any more. An
        /// upstream that nobody hears from may be cut off, which says nothing of a request.
        is_gone: bool,
    },
    /// A caller left before its answer.
    CallerLeft(RequestId),
    /// An operator asks.
    Operator {
        /// Where the answer goes.
        call_id: OperatorCallId,
        /// What is asked.
        call: OperatorCall,
    },
    /// The daemon will stop soon: it is no longer ready and takes no duties.
    Leave,
    /// The daemon is to stop once its requests are done.
    Stop,
}

/// Something to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Call the platform.
    Platform {
        /// Which call.
        call: CallId,
        /// What to ask.
        request: PlatformCall,
    },
    /// Pull from a peer.
    Pull {
        /// Where.
        to: Address,
        /// What to send.
        pull: Pull,
    },
    /// Answer a peer's pull.
    AnswerPull {
        /// Which one.
        pull_id: PullId,
        /// The answer.
        reply: PullReply,
    },
    /// Tell a peer that there is something new.
    Notify {
        /// Where.
        to: Address,
        /// The rumour.
        notice: Notice,
    },
    /// Ask an engine for its status.
    RequestStatus {
        /// Who asks.
        purpose: StatusPurpose,
        /// Which host, where it is known.
        host: Option<HostId>,
        /// Where it listens.
        address: Address,
    },
    /// Send an order to an engine, but not at or after `valid_until`.
    Order {
        /// The host.
        host: HostId,
        /// Where it listens.
        address: Address,
        /// The order.
        order: Order,
        /// The lease ends then.
        valid_until: Timestamp,
    },
    /// Send a request to an upstream.
    Send(Attempt),
    /// Break off an attempt.
    CancelAttempt(AttemptId),
    /// Look whether an upstream is still there; always answered by
    /// [`Event::UpstreamChecked`].
    CheckUpstream {
        /// Which upstream.
        upstream: UpstreamId,
        /// Where it listened.
        address: Address,
    },
    /// Give a caller its final answer.
    Answer {
        /// The request.
        request: RequestId,
        /// What became of it.
        outcome: Outcome,
    },
    /// Answer an operator.
    AnswerOperator {
        /// Which call.
        call_id: OperatorCallId,
        /// The answer.
        answer: OperatorAnswer,
    },
    /// Write a line to the log.
    Log(LogLine),
    /// All requests are done; the process may end.
    Stopped,
}

/// A line for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogLine {
    /// Which part says it.
    pub component: Component,
    /// What it says.
    pub text: String,
}

/// Parts of a daemon, each with its prefix in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Component {
    /// Routing decisions.
    Route,
    /// Placement decisions.
    Place,
    /// The control lease.
    Lease,
    /// The platform's store.
    Platform,
    /// Accepted configuration.
    Config,
    /// Operators' calls.
    Operator,
    /// Claims of keys.
    Claim,
    /// Start and stop.
    Daemon,
}

impl Component {
    /// The prefix of its lines.
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

/// Times that say how long the daemon waits for others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeouts {
    /// For a call to the platform.
    pub platform: Duration,
    /// For a status or an order.
    pub engine: Duration,
    /// For a peer.
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
