//! Which objects hold the leases, assignments and claims of the current store era.
//!
//! A platform may carry out a write long after it was sent, also in a later era, in which the
//! number that it expects may stand for another value. Where conditions don't name the era, each
//! era therefore has objects of its own. What stood before an era is read from the objects of
//! earlier ones, which are not written any more.
//!
//! Daemons of versions without such objects use the shared ones. An era in which one of them holds
//! a lease keeps to the shared objects, so that both kinds of daemons agree.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{CallPurpose, Daemon, log};
use crate::core::event::{Action, Component};
use crate::core::objects::{Object, ObjectKey, Versioned};
use crate::core::platform::{
    EraScope, Freshness, NoAnswer, PlatformCall, PlatformReply, PlatformResult, Scope,
};
use crate::core::types::{StoreEra, Timestamp, Version};

/// Number of earlier scopes that are searched for an object. One that wasn't written in so many
/// eras counts as missing.
const MAX_EARLIER_SCOPES: usize = 16;
/// Minimum time between two lists of the shared leases.
const LIST_INTERVAL: Duration = Duration::from_millis(500);
/// How long the object of an earlier era is kept after its successor was written. By then no
/// backup lacks the successor, so a late deletion never removes the only copy.
const KEEP_SUPERSEDED: Duration = Duration::from_secs(60);

/// The scope of the objects in one era.
#[derive(Clone, Copy, Debug)]
struct DecidedScope {
    era: StoreEra,
    scope: EraScope,
}

/// A read of one object, which may continue at earlier scopes.
#[derive(Clone, Debug)]
pub(super) struct ObjectRead {
    key: ObjectKey,
    /// The era for which the object is read.
    era: StoreEra,
    /// The scope that is read now.
    scope: EraScope,
    freshness: Freshness,
    /// Number of scopes that were read before this one.
    earlier_reads: usize,
}

/// An object of an earlier era, whose value stands in the current era's object once that is
/// written.
#[derive(Clone, Copy, Debug)]
struct Superseded {
    scope: EraScope,
    /// When it is deleted if its successor is read then; `None` while its successor has not been written.
    delete_at: Option<Timestamp>,
}

/// A read of the object that replaced one of an earlier era.
#[derive(Clone, Debug)]
pub(super) struct SuccessorCheck {
    key: ObjectKey,
    /// The era of the successor.
    era: StoreEra,
    /// The scope of the object to delete.
    scope: EraScope,
}

/// What a daemon knows of the objects of eras.
#[derive(Clone, Debug, Default)]
pub(super) struct EraObjects {
    decided: Option<DecidedScope>,
    is_listing: bool,
    next_list_at: Timestamp,
    /// Whether daemons of earlier versions may hold the shared lease of this failure domain while
    /// this era has a lease of its own.
    watches_shared_lease: bool,
    /// Searches at earlier scopes that got no answer. They go on once the object of the current
    /// era was found to be still missing.
    searches: BTreeMap<ObjectKey, ObjectRead>,
    /// The newest earlier object of each key that was read in this era.
    superseded: BTreeMap<ObjectKey, Superseded>,
}

impl Daemon {
    /// The scope of this daemon's objects; `None` if it has not been decided in this era.
    pub(super) fn object_scope(&self) -> Option<EraScope> {
        let era = self.known_era();
        if !self.settings.learning.era_objects || era == StoreEra::UNREPORTED {
            return Some(EraScope::Shared);
        }
        let decided = self.era_objects.decided.filter(|known| known.era == era);
        decided.map(|known| known.scope)
    }

    fn known_era(&self) -> StoreEra {
        self.store_era().unwrap_or(StoreEra::UNREPORTED)
    }

    /// The era to which a reply to the read of an object must belong; `None` for any. An object
    /// of one era says nothing about a later one.
    pub(super) fn era_of_read(&self) -> Option<StoreEra> {
        let known = self.known_era();
        self.settings.learning.era_objects.then_some(known)
    }

    /// Lists the shared leases, unless the scope of this era is known.
    pub(super) fn request_object_scope(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let objects = &mut self.era_objects;
        if objects.is_listing || now < objects.next_list_at {
            return;
        }
        objects.is_listing = true;
        objects.next_list_at = now + LIST_INTERVAL;
        let request = PlatformCall::List {
            scope: Scope::SharedLeases,
            freshness: Freshness::Exact,
        };
        self.call_platform(CallPurpose::ObjectScope, request, out);
    }

    /// Decides the scope of an era by the shared leases.
    pub(super) fn on_shared_leases(
        &mut self,
        now: Timestamp,
        result: PlatformResult,
        out: &mut Vec<Action>,
    ) {
        self.era_objects.is_listing = false;
        let Ok(PlatformReply::Objects { revision, updates }) = result else {
            return;
        };
        let era = revision.era;
        let is_current = |object: &Object| match object {
            Object::Lease(lease) => !lease.epoch.is_before(era),
            _ => false,
        };
        let is_shared = updates.iter().any(|update| is_current(&update.object));
        let scope = if is_shared || era == StoreEra::UNREPORTED {
            EraScope::Shared
        } else {
            EraScope::Single(era)
        };
        self.era_objects.decided = Some(DecidedScope { era, scope });
        let own_lease = self.lease_key();
        let has_shared_lease = updates.iter().any(|update| update.key == own_lease);
        self.era_objects.watches_shared_lease = scope != EraScope::Shared && has_shared_lease;
        self.lease.step_now(now);
        let text = match scope {
            EraScope::Single(_) => format!("uses the leases, assignments and claims of era {era}"),
            EraScope::Shared => {
                format!("uses shared objects in era {era}: a daemon without objects of eras does")
            }
        };
        log(out, Component::Platform, text);
    }

    /// Reads the object of a scope or, where it is missing, the one that stood before.
    pub(super) fn read_object(
        &mut self,
        purpose: CallPurpose,
        key: ObjectKey,
        scope: EraScope,
        freshness: Freshness,
        out: &mut Vec<Action>,
    ) {
        let read = ObjectRead {
            key,
            era: self.known_era(),
            scope,
            freshness,
            earlier_reads: 0,
        };
        self.call_read(purpose, read, out);
    }

    /// Writes the object of a scope if it has the version `expect`.
    pub(super) fn write_object(
        &mut self,
        purpose: CallPurpose,
        key: ObjectKey,
        scope: EraScope,
        expect: Version,
        object: Object,
        out: &mut Vec<Action>,
    ) {
        let request = PlatformCall::Put {
            key,
            scope,
            expect,
            object: Box::new(object),
        };
        self.call_platform(purpose, request, out);
    }

    /// Continues a read that found nothing at the scope before. Returns the result of the read if
    /// it has ended: an object of an earlier era counts as absent in this one, with the value that
    /// stood before.
    pub(super) fn continue_read(
        &mut self,
        now: Timestamp,
        purpose: &CallPurpose,
        read: Option<ObjectRead>,
        result: PlatformResult,
        out: &mut Vec<Action>,
    ) -> Option<PlatformResult> {
        let Some(read) = read else {
            return Some(result);
        };
        if let Ok(PlatformReply::Missing(era)) = result {
            let unfinished = self.era_objects.searches.remove(&read.key);
            let earlier = unfinished.or_else(|| self.earlier_read(now, purpose, &read));
            let Some(earlier) = earlier else {
                if matches!(purpose, CallPurpose::Lease) && read.scope == EraScope::Shared {
                    self.leave_shared_lease();
                }
                return Some(Ok(PlatformReply::Missing(era)));
            };
            self.call_read(purpose.clone(), earlier, out);
            return None;
        }
        if read.earlier_reads == 0 {
            if matches!(result, Ok(PlatformReply::Object(_))) {
                self.era_objects.searches.remove(&read.key);
                self.era_objects.on_successor_read(&read.key);
                if matches!(purpose, CallPurpose::Lease) {
                    self.leave_shared_lease();
                }
            }
            return Some(result);
        }
        if matches!(purpose, CallPurpose::Lease) {
            return Some(self.end_lease_search(now, read.scope, result));
        }
        Some(self.end_search(read, result))
    }

    /// Ends the search for the lease of an earlier era. Its holder may still act, so the lease of
    /// this era is not free yet.
    fn end_lease_search(
        &mut self,
        now: Timestamp,
        scope: EraScope,
        result: PlatformResult,
    ) -> PlatformResult {
        let reply = result?;
        let version = match &reply {
            PlatformReply::Object(object) => Some(object.version),
            PlatformReply::Foreign(version) => Some(*version),
            _ => None,
        };
        self.lease.on_earlier_lease(now);
        if let Some(version) = version.filter(|_| scope == EraScope::Shared) {
            self.lease.on_shared_lease(now, version);
        }
        Ok(PlatformReply::Missing(reply.era()))
    }

    /// Stops reading the shared lease: it is missing, or the fleet goes by that of this era.
    fn leave_shared_lease(&mut self) {
        self.era_objects.watches_shared_lease = false;
        self.lease.forget_shared_lease();
    }

    /// Ends the search for an object of an earlier era. One that got no answer goes on where it
    /// was, as no object of an ended era is made any more.
    fn end_search(&mut self, read: ObjectRead, result: PlatformResult) -> PlatformResult {
        match result {
            Ok(PlatformReply::Object(object)) => {
                let version = Version::absent(object.version.era);
                let value = object.value;
                self.era_objects.record_superseded(read.key, read.scope);
                Ok(PlatformReply::Object(Box::new(Versioned {
                    version,
                    value,
                })))
            }
            Ok(PlatformReply::Foreign(version)) => {
                Ok(PlatformReply::Foreign(Version::absent(version.era)))
            }
            Err(NoAnswer) => {
                // A new era has objects that this search has not asked for.
                if read.era == self.known_era() {
                    self.era_objects.searches.insert(read.key.clone(), read);
                }
                Err(NoAnswer)
            }
            result => result,
        }
    }

    /// The read at the scope before that of `read`, if there is one. A lease of an earlier era is
    /// looked for only where nobody would wait for its holder to stop, but for the shared one, which
    /// a daemon of an earlier version may go on renewing.
    fn earlier_read(
        &mut self,
        now: Timestamp,
        purpose: &CallPurpose,
        read: &ObjectRead,
    ) -> Option<ObjectRead> {
        let scope = read.scope.predecessor()?;
        let is_lease = matches!(purpose, CallPurpose::Lease);
        let is_ended = is_lease && !self.lease.assumes_no_earlier_holder();
        if is_ended {
            self.era_objects.record_superseded(read.key.clone(), scope);
            if !self.era_objects.watches_shared_lease || self.lease.may_resume(now) {
                return None;
            }
        }
        let earlier_reads = read.earlier_reads + 1;
        // The shared objects are those of versions without objects of eras.
        let scope = if earlier_reads <= MAX_EARLIER_SCOPES && !is_ended {
            scope
        } else {
            EraScope::Shared
        };
        Some(ObjectRead {
            key: read.key.clone(),
            era: read.era,
            scope,
            freshness: read.freshness,
            earlier_reads,
        })
    }

    fn call_read(&mut self, purpose: CallPurpose, read: ObjectRead, out: &mut Vec<Action>) {
        let request = PlatformCall::Get {
            key: read.key.clone(),
            scope: read.scope,
            freshness: read.freshness,
        };
        let named_era = self.era_of_read();
        let call = self.call_platform(purpose, request, out);
        if let Some(open) = self.calls.get_mut(&call) {
            open.read = Some(read);
            open.named_era = named_era;
        }
    }

    /// Notes that an object of the current era was written, so that its predecessor can be deleted.
    pub(super) fn on_object_written(&mut self, now: Timestamp, key: &ObjectKey) {
        if let Some(superseded) = self.era_objects.superseded.get_mut(key) {
            superseded.delete_at.get_or_insert(now + KEEP_SUPERSEDED);
        }
    }

    /// Reads the successors of superseded objects that are due. Time alone does not show that they
    /// still exist: this daemon may have been suspended while the store was restored.
    pub(super) fn check_successors(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let Some(current) = self.object_scope() else {
            return;
        };
        let era = self.known_era();
        let is_due = |superseded: &Superseded| superseded.delete_at.is_some_and(|at| now >= at);
        let superseded = &mut self.era_objects.superseded;
        let due = superseded.extract_if(.., |_, superseded| is_due(superseded));
        for (key, Superseded { scope, .. }) in due.collect::<Vec<_>>() {
            let request = PlatformCall::Get {
                key: key.clone(),
                scope: current,
                freshness: Freshness::Exact,
            };
            let purpose = CallPurpose::Successor(SuccessorCheck { key, era, scope });
            let call = self.call_platform(purpose, request, out);
            if let Some(open) = self.calls.get_mut(&call) {
                open.named_era = Some(era);
            }
        }
    }

    /// Deletes a superseded object if its successor was read in the same era.
    pub(super) fn on_successor_checked(
        &mut self,
        now: Timestamp,
        check: SuccessorCheck,
        result: PlatformResult,
        out: &mut Vec<Action>,
    ) {
        let SuccessorCheck { key, era, scope } = check;
        match result {
            Ok(PlatformReply::Object(_)) => {
                let request = PlatformCall::Delete { key, scope };
                self.call_platform(CallPurpose::DeleteSuperseded, request, out);
            }
            Err(NoAnswer) if era == self.known_era() => {
                let delete_at = Some(now + KEEP_SUPERSEDED);
                let superseded = Superseded { scope, delete_at };
                self.era_objects.superseded.insert(key, superseded);
            }
            _ => {}
        }
    }

    /// Begins an era, and forgets what belongs to the previous one. A fleet that has left the
    /// shared objects does not return to them.
    pub(super) fn begin_era_of_objects(&mut self, now: Timestamp, era: StoreEra) {
        let objects = &mut self.era_objects;
        objects.superseded.clear();
        objects.searches.clear();
        objects.watches_shared_lease = false;
        objects.next_list_at = now;
        let decided = objects.decided.as_mut();
        if let Some(decided) = decided.filter(|decided| decided.scope != EraScope::Shared) {
            let scope = EraScope::Single(era);
            *decided = DecidedScope { era, scope };
        }
    }
}

impl EraObjects {
    /// Leaves the deletion of an earlier object to the daemon that wrote its successor.
    fn on_successor_read(&mut self, key: &ObjectKey) {
        let superseded = self.superseded.get(key);
        if superseded.is_some_and(|superseded| superseded.delete_at.is_none()) {
            self.superseded.remove(key);
        }
    }

    /// Records the object from which that of the current era takes its value. Shared objects are
    /// never deleted, as daemons without objects of eras may use them.
    fn record_superseded(&mut self, key: ObjectKey, scope: EraScope) {
        if scope == EraScope::Shared {
            return;
        }
        let delete_at = None;
        self.superseded.insert(key, Superseded { scope, delete_at });
    }
}
