#!/usr/bin/env python3
"""Takes out one protection at a time and shows that a test then fails.

Works on a copy of the tracked files under target/red, never on the tree itself.
Usage: scripts/red-runs.py [NAME ...]; without a name, all of them in turn.
With --check nothing is run: each row's texts must stand in their files once.
"""

import pathlib
import shutil
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
COPY = ROOT / "target" / "red" / "tree"
BUILD = ROOT / "target" / "red" / "build"
CORE = "shalehinge/src/core/"

# name: (file, text as it stands, text without the protection, test, filter,
#        and further edits where two protections stand behind each other)
PROTECTIONS = {
    "shares-follow-the-requests-in-progress": (
        CORE + "router/traffic_share.rs",
        "Some(_) if all > 0.0 => (equal + own / all) / 2.0,",
        "Some(_) if all > 0.0 => equal,",
        "uneven_connections", "come_to_two_daemons",
    ),
    "candidates-follow-the-requests-in-progress": (
        CORE + "router/candidates.rs",
        "const MAX_FACTOR: usize = 64;",
        "const MAX_FACTOR: usize = 1;",
        "uneven_connections", "one_with_most_connections_is_killed",
    ),
    "a-cut-off-target-goes-to-peers": (
        CORE + "router/connectivity.rs",
        "Some(State::CutOff { .. }) => 0.0,",
        "Some(State::CutOff { .. }) => 1.0,",
        "unreachable_upstreams", "reach_no_upstream_are_served",
    ),
    "a-failure-counts-from-its-start": (
        CORE + "router/connectivity.rs",
        "if begun_at < known.last_contact_at {",
        "if false && begun_at < known.last_contact_at {",
        "cut_domains", "one_is_cut_off",
    ),
    "isolated-daemons-yield-control": (
        CORE + "daemon/control.rs",
        "        self.yield_control(now, out);\n",
        "",
        "unreachable_upstreams", "control_moves",
    ),
    "each-era-has-objects-of-its-own": (
        CORE + "daemon/era_objects.rs",
        "            EraScope::Single(era)\n        };",
        "            EraScope::Shared\n        };",
        "era_objects", "carried_out_in_a_later_era",
    ),
    "the-value-of-an-earlier-era-counts": (
        CORE + "daemon/era_objects.rs",
        "        let scope = read.scope.predecessor()?;\n        let is_lease",
        "        let scope = read.scope.predecessor().filter(|_| false)?;\n        let is_lease",
        "claims_of_earlier_eras", "long_before",
    ),
    "a-search-ends-with-its-era": (
        CORE + "daemon/era_objects.rs",
        "                if read.era == self.known_era() {",
        "                if read.earlier_reads > 0 {",
        "era_objects", "interrupts_begins_anew",
    ),
    "a-search-goes-on-where-it-was": (
        CORE + "daemon/era_objects.rs",
        "                    self.era_objects.searches.insert(read.key.clone(), read);\n",
        "",
        "era_objects_courses", "few_reads",
    ),
    "a-first-start-looks-for-the-lease-of-an-earlier-era": (
        CORE + "daemon/era_objects.rs",
        " && !self.lease.assumes_no_earlier_holder()",
        "",
        "era_objects_courses", "one_that_is_cut_off",
    ),
    "a-shared-lease-may-be-renewed": (
        CORE + "lease.rs",
        " && !self.may_be_held_by_earlier_version(now)",
        "",
        "era_objects_courses", "before_eras_is_respected",
    ),
    "each-era-has-group-numbers-of-its-own": (
        CORE + "controller/mod.rs",
        "next_group.max(first_of_era)",
        "next_group",
        "era_objects_courses", "one_backup_differ",
    ),
    "group-numbers-go-on-after-a-foreign-write": (
        CORE + "controller/mod.rs",
        "GroupNumber(first_of_era.0 + GROUP_NUMBER_MARGIN)",
        "GroupNumber::FIRST",
        "era_objects_courses", "after_a_foreign_write",
    ),
    "a-shared-lease-of-this-era-counts": (
        CORE + "daemon/era_objects.rs",
        "if is_shared || era == StoreEra::UNREPORTED {",
        "if is_shared && era == StoreEra::UNREPORTED {",
        "era_objects", "respected",
    ),
    "objects-of-earlier-eras-are-kept-for-a-while": (
        CORE + "daemon/era_objects.rs",
        "delete_at.get_or_insert(now + KEEP_SUPERSEDED)",
        "delete_at.get_or_insert(now)",
        "era_objects", "deleted_only",
    ),
    "an-own-claim-of-an-earlier-era-grants-nothing": (
        CORE + "claims.rs",
        "        partition.drop_ungranted_claims();\n",
        "",
        "claims", "granted_only_once_written_again",
    ),
    "a-later-era-is-newer": (
        CORE + "version.rs",
        "pub struct Version {\n    /// The store era in which the version was reported.\n    pub era: StoreEra,\n    /// The store's revision number; 0 for an object that does not exist.\n    pub number: u64,",
        "pub struct Version {\n    /// The store's revision number; 0 for an object that does not exist.\n    pub number: u64,\n    /// The store era in which the version was reported.\n    pub era: StoreEra,",
        "restored_platform", "nine_daemons",
    ),
    "the-writers-number-goes-first": (
        CORE + "version.rs",
        "    /// Number assigned by the writer; 0 where writers assign none.\n    pub generation: u64,\n    /// Version assigned by the store.\n    pub stored: Version,",
        "    /// Version assigned by the store.\n    pub stored: Version,\n    /// Number assigned by the writer; 0 where writers assign none.\n    pub generation: u64,",
        "restored_platform", "stays_in_force",
    ),
    "a-watch-across-eras-is-no-answer": (
        CORE + "daemon/store_era.rs",
        "PlatformReply::Objects { .. } => Ok(PlatformReply::HistoryGone(era)),",
        "reply @ PlatformReply::Objects { .. } => Ok(reply),",
        "store_era_answers", "watch",
    ),
    "a-write-across-eras-is-unclear": (
        CORE + "daemon/store_era.rs",
        "PlatformReply::Written(_) => Err(NoAnswer),",
        "PlatformReply::Written(_) if false => Err(NoAnswer),",
        "store_era_answers", "same_number",
    ),
    "an-answer-of-an-earlier-era-is-none": (
        CORE + "daemon/store_era.rs",
        "if Some(era) < self.era_state.current {",
        "if Some(era) < self.era_state.current && era > StoreEra::LAST {",
        "store_era_answers", "earlier_era",
    ),
    "a-holder-stops-in-a-new-era": (
        CORE + "lease.rs",
        "        self.held_epoch = None;\n        self.observation = None;\n        self.pending = None;\n        self.shared_lease = None;",
        "        self.observation = None;\n        self.pending = None;\n        self.shared_lease = None;",
        "store_era", "stops",
    ),
    "a-lease-given-back-in-a-copy-waits": (
        CORE + "lease.rs",
        "if is_expired || lease.value.released && is_certainly_unheld {",
        "if is_expired || lease.value.released {",
        "store_era", "lease_released",
    ),
    "a-lease-missing-in-a-copy-waits": (
        CORE + "lease.rs",
        "if !is_certainly_unheld {",
        "if !is_certainly_unheld && self.in_flight && false {",
        "store_era", "missing",
    ),
    "tokens-rise-over-eras": (
        CORE + "types.rs",
        "Self(self.0.saturating_add(1)).max(Self::first_of(era))",
        "Self(self.0.saturating_add(1)).max(Self::first_of(StoreEra::UNREPORTED).min(Self::first_of(era)))",
        "store_era", "token",
    ),
    "what-was-known-of-hosts-stands": (
        CORE + "fleet_state.rs",
        "self.overlaid_hosts.as_ref().or(listed)",
        "self.overlaid_hosts.as_ref().filter(|_| false).or(listed)",
        "store_era", "earlier_hosts",
    ),
    "what-the-new-era-tells-of-a-host-counts": (
        CORE + "earlier_hosts.rs",
        "            self.former_records.remove(host);\n",
        "",
        "store_era", "reported_in_the_new_era",
    ),
    "claims-are-written-again": (
        CORE + "claims.rs",
        "                self.partition_of(key).queued.push(rewrite);",
        "                let _ = rewrite;",
        "store_era", "claim",
    ),
    "no-key-is-granted-at-once-in-a-new-era": (
        CORE + "claims.rs",
        "let may_grant = now >= self.no_grants_before;",
        "let may_grant = true;",
        "store_era", "claim",
    ),
    "a-caller-that-left-is-noticed": (
        "shalehinge/src/utils/caller_connection.rs",
        "            Ok(0) => {}\n",
        "            Ok(0) => pending().await,\n",
        "relay", "from_a_stalled_stream",
    ),
    "what-fails-everywhere-is-not-retried": (
        CORE + "router/attempts.rs",
        "outcome if fails_everywhere => self",
        "outcome if fails_everywhere && outcome == Outcome::Completed => self",
        "failing_requests", "leaves_retries_to_others",
    ),
    "engines-are-asked-after-a-restore": (
        CORE + "controller/survey.rs",
        "        if self.may_lack_groups() {\n",
        "        if self.may_lack_groups() && self.addresses.len() > 1_000_000 {\n",
        "lost_assignment", "groups_that_no_daemon_knows",
    ),
    "closing-groups-finish-their-requests": (
        CORE + "controller/ordered.rs",
        "if (is_open || is_closing) && may_finish {",
        "if (is_open || is_closing && now < since) && may_finish {",
        "ordered", "closing_group_finishes",
    ),
    "groups-with-silent-members-are-adopted": (
        CORE + "controller/adoption.rs",
        "let is_complete = rank_zero.status.shows_complete(number);",
        "let is_complete = rank_zero.status.shows_complete(number) && unknown_members == 0;",
        "lost_assignment", "answers_no_daemon",
    ),
    "a-lower-revision-is-reported": (
        CORE + "daemon/configuration.rs",
        "if !is_lower || answer.at < self.revision_known_at {",
        "if !is_lower || answer.at >= Timestamp::ZERO {",
        "store_era_answers", "reported_once",
    ),
    "crash-counts-outlast-the-holder": (
        CORE + "controller/mod.rs",
        "            self.load_crashes.resume(now, &stored.value.load_crashes);\n",
        "",
        "crashing_models", "while_lease_holders_change",
    ),
    "silent-hosts-are-asked-on": (
        CORE + "controller/mod.rs",
        "        actions.extend(self.late_survey_probes(now));\n",
        "",
        "lost_assignment", "starts_after_the_survey",
    ),
    "a-key-waits-for-witnesses": (
        CORE + "claim_witnesses.rs",
        "let required = REQUIRED_WITNESSES.min(candidates.count());",
        "let required = 0;",
        "lost_claims", "its_claim_are_lost",
    ),
    "a-cooldown-holds-requests-back": (
        CORE + "router/cooldown.rs",
        "(now < until).then_some(until)",
        "(now < until.min(Timestamp::ZERO)).then_some(until)",
        "cooldowns", "from_nine_daemons",
    ),
    "an-answer-ends-no-cooldown-early": (
        CORE + "router/cooldown.rs",
        "self.until = self.until.max(now + time);",
        "self.until = now + time;",
        "signal", "does_not_shorten_a_cooldown",
    ),
    "one-request-at-a-time-after-a-cooldown": (
        CORE + "router/cooldown.rs",
        "!(self.is_recovering && self.has_probe_in_flight)",
        "!(self.is_recovering && self.has_probe_in_flight && self.is_unreadable)",
        "signal", "sent_one_at_a_time",
    ),
    "a-request-that-is-turned-away-again-leaves-room": (
        CORE + "router/cooldown.rs",
        "        self.is_recovering = true;\n        self.has_probe_in_flight = false;\n",
        "        self.is_recovering = true;\n",
        "signal_fuzz", "fixed_sequences",
    ),
    "a-request-from-before-a-cooldown-shows-nothing": (
        CORE + "router/cooldown.rs",
        "        if sent_at > self.requested_at {\n            self.is_recovering",
        "        if sent_at >= Timestamp::ZERO {\n            self.is_recovering",
        "signal_fuzz", "fixed_sequences",
    ),
    "a-cooldown-of-a-day-is-tested": (
        CORE + "router/cooldown.rs",
        "const MAX_PROBES: u32 = 2;",
        "const MAX_PROBES: u32 = 0;",
        "signal", "of_a_day",
    ),
    "what-is-no-number-of-seconds-makes-no-cooldown": (
        CORE + "signal.rs",
        "    let text = Some(text).filter(|text| text.chars().all(is_decimal))?;\n",
        "    let _ = is_decimal;\n",
        "signal", "a_value_that_is_no_time",
    ),
    "other-statuses-ask-for-no-cooldown": (
        CORE + "signal.rs",
        "if ![TOO_MANY_REQUESTS, SERVICE_UNAVAILABLE].contains(&status) {",
        "if ![TOO_MANY_REQUESTS, SERVICE_UNAVAILABLE, status].contains(&status) {",
        "signal", "only_statuses_429_and_503",
    ),
    "callers-get-the-true-wait": (
        CORE + "router/refusal.rs",
        "        if unavailable_for > longest_wait {",
        "        if unavailable_for > longest_wait + MAX_RETRY_AFTER {",
        "cooldowns", "an_accurate_retry_after",
    ),
    "a-standstill-is-no-slow-line": (
        CORE + "router/dispatch.rs",
        "                    state.drain.restart(now);\n",
        "                    let _ = &state.drain;\n",
        "cooldowns", "that_ends_soon",
    ),
    "a-leaving-upstream-gets-nothing": (
        CORE + "router/upstream.rs",
        "self.spec.accepts_new && !self.lost && !self.is_leaving(now)",
        "self.spec.accepts_new && !self.lost && (!self.is_leaving(now) || now > Timestamp::ZERO)",
        "cooldowns", "announced_leaving",
    ),
    "an-instance-that-left-is-asked-again": (
        CORE + "router/leaving.rs",
        ".is_some_and(|at| now.since(at) < LEAVING_RETENTION)",
        ".is_some_and(|at| now.since(at) < LEAVING_RETENTION * 60)",
        "signal", "retried_after_a_minute",
    ),
    "a-warm-up-limits-requests": (
        CORE + "router/warm_up.rs",
        "self.spec.filter(|_| now < self.until)?",
        "self.spec.filter(|_| false)?",
        "warm_up", "daemons_together",
    ),
    "an-evacuated-domain-gets-no-requests": (
        CORE + "router/topology.rs",
        "record.state == HostState::Live && !state.is_evacuated(&record.failure_domain)",
        "record.state == HostState::Live",
        "evacuation", "until_it_is_restored",
    ),
    "a-share-below-one-retries": (
        CORE + "router/retry_budget.rs",
        "        rng.random_bool(probability.clamp(0.0, 1.0))",
        "        rng.random_bool(probability.clamp(0.0, 0.0))",
        "retry_budget", "mostly_retried",
    ),
    "what-was-not-sent-is-retried-free": (
        CORE + "router/attempts.rs",
        "outcome if end == AttemptEnd::NotSent => {",
        "outcome if end == AttemptEnd::NotSent && self.waiting > 1_000_000 => {",
        "listed_routing", "costs_no_retry",
    ),
    "unreachable-domains-are-avoided": (
        CORE + "router/reachability.rs",
        "const MIN_FAILED_UPSTREAMS: usize = 2;",
        "const MIN_FAILED_UPSTREAMS: usize = 1_000;",
        "cut_domains", "served_in_time",
    ),
    "own-domain-first": (
        CORE + "router/choose.rs",
        "if !picked.iter().any(is_local) {",
        "if picked.is_empty() {",
        "listed_routing", "its_own_failure_domain",
    ),
    "after-an-unsent-attempt-the-own-domain": (
        CORE + "router/target.rs",
        "prefers_local: pending.has_unsent_attempt,",
        "prefers_local: false,",
        "listed_routing", "goes_to_the_own_failure_domain",
    ),
    "a-release-waits-for-a-renewal": (
        CORE + "lease.rs",
        "if self.in_flight && self.pending.is_some() {",
        "if self.in_flight && self.pending.is_some() && now == Timestamp::ZERO {",
        "focused", "at_any_moment",
    ),
    "a-limited-upstream-needs-a-permit": (
        CORE + "router/limits.rs",
        "self.limit.has_permit(now) || self.limit_rate(now).is_none()",
        "now >= Timestamp::ZERO",
        "limited_upstreams", "from_nine_daemons",
    ),
    "one-owner-hands-out-permits": (
        CORE + "daemon/limits.rs",
        "            if self.owner_of(now, &request.known) == Owner::ThisDaemon {",
        "            if self.owner_of(now, &request.known) != self.owner_of(now, &request.known) || true {",
        "limited_upstreams", "from_340_daemons",
    ),
    "a-standby-grants-for-a-silent-owner": (
        CORE + "daemon/limits.rs",
        "let Some(silent_since) = step.unreachable_since else {",
        "let Some(silent_since) = step.unreachable_since.filter(|at| *at > now) else {",
        "limited_upstreams", "while_its_owner_is_dead",
    ),
    "a-standby-grants-part-of-the-limit": (
        CORE + "permits.rs",
        "const STANDBY_FRACTION: f64 = 0.5;",
        "const STANDBY_FRACTION: f64 = 1.0;",
        "limited_upstreams", "cannot_reach_its_owner",
    ),
    "a-suspended-owner-begins-with-nothing": (
        CORE + "permits.rs",
        "now.since(at) >= SUSPENSION",
        "now.since(at) >= SUSPENSION * 1_000",
        "permits", "was_suspended",
    ),
    "an-owner-begins-with-nothing": (
        CORE + "permits.rs",
        "            tokens: 0.0,",
        "            tokens: 100.0,",
        "permits", "starts_without_permits",
    ),
    "little-is-saved-up": (
        CORE + "permits.rs",
        ".min(burst);",
        ".min(1_000.0);",
        "limited_upstreams", "does_not_accumulate",
    ),
    "a-limit-of-nothing-can-end": (
        CORE + "permits.rs",
        "const MIN_RATE: f64 = 0.25;",
        "const MIN_RATE: f64 = 0.0;",
        "limited_upstreams", "its_share_again",
    ),
    "whoever-asks-last-keeps-its-turn": (
        CORE + "permits.rs",
        "Duration::from_millis(2_500)",
        "Duration::from_millis(1_000)",
        "limited_upstreams", "if_all_upstreams_are_limited_their",
    ),
    "permits-are-asked-where-they-are-used": (
        CORE + "router/choose.rs",
        "    picked.extend(open.iter().copied().filter(has_permit));",
        "    let _ = has_permit;",
        "limited_upstreams", "any_rate_and_size",
    ),
    "an-answer-from-before-a-limit-ends-nothing": (
        CORE + "router/limit_state.rs",
        "AdvertisedLimit::None => self.set(sent_at, None),",
        "AdvertisedLimit::None => self.set(now.max(sent_at), None),",
        "advertised_limit", "sent_before_a_limit",
    ),
    "what-cannot-be-read-is-no-limit": (
        CORE + "advertised_limit.rs",
        "            .filter(|text| text.chars().all(is_decimal))\n",
        "            .filter(|text| is_decimal('0') || text.is_empty())\n",
        "advertised_limit", "is_no_rate",
    ),
    "a-suspect-is-tried": (
        CORE + "router/refusal.rs",
        "Evidence::Suspected => quarantined.last_lost_at + MIN_TRIAL_DELAY,",
        "Evidence::Suspected => quarantined.last_lost_at + settings.quarantine_for,",
        "quarantine_harmless", "are_served_again_soon",
    ),
    "one-trial-at-a-time": (
        CORE + "trials.rs",
        "if is_being_tried || ",
        "if is_being_tried && false || ",
        "quarantine", "one_daemon_at_a_time",
    ),
    "one-trial-at-an-upstream": (
        CORE + "trials.rs",
        "trials.all(|trial| trial.upstream != **upstream)",
        "trials.all(|trial| trial.upstream != **upstream || true)",
        "quarantine", "not_tried_at_one_upstream",
    ),
    "a-trial-explains-its-crash": (
        CORE + "router/suspects.rs",
        "trial.upstream == *upstream && losses.contains_key(subject)",
        "trial.upstream == *upstream && losses.contains_key(subject) && false",
        "router", "proves_the_request",
    ),
    "a-release-is-withdrawn": (
        CORE + "controller/releases.rs",
        "&& listed_group(host) == Some(group)",
        "&& listed_group(host) == Some(group) && false",
        "ordered", "a_late_order_brought_back",
    ),
    "a-host-that-may-rejoin-is-not-used": (
        CORE + "controller/releases.rs",
        "*known == group && now.since(*asked_at) < LATE_ORDER_WINDOW",
        "*known == group && now.since(*asked_at) < LATE_ORDER_WINDOW && false",
        "ordered", "may_bring_it_back",
    ),
    "a-part-counts-with-any-model": (
        CORE + "router/request.rs",
        "subjects.extend(parts.copied().chain(at_target));",
        "subjects.extend(at_target);",
        "crashing_prompt_parts", "held_back_for_all_models",
    ),
    "a-part-counts-with-its-model": (
        CORE + "router/request.rs",
        "subjects.extend(parts.copied().chain(at_target));",
        "subjects.extend(parts.copied());",
        "crashing_prompt_parts", "is_served_by_another",
    ),
    "no-change-of-protocols-is-passed-on": (
        "shalehinge/src/upstream/attempt.rs",
        "(200..600).contains(&status)\n",
        "(200..600).contains(&status) || status == 101\n",
        "malformed_responses", "a_status_that_is_none",
    ),
    "culprits-are-read-at-the-start": (
        CORE + "daemon/mod.rs",
        "        self.read_stored_culprits(now, out);\n",
        "",
        "platform/crashing_prompt_parts", "kill_of_all_daemons",
    ),
    "a-trial-proves-a-set": (
        CORE + "router/culprit_sets.rs",
        ".all(|subject| subjects.contains(subject))",
        ".any(|subject| subjects.contains(subject))",
        "crashing_parts_and_sound_requests", "part_of_20_is_held_back_and_seldom",
    ),
    "what-three-sets-have-in-common-is-a-set": (
        CORE + "router/culprit_sets.rs",
        "if !common.subjects.is_empty() {",
        "if false && !common.subjects.is_empty() {",
        "crashing_parts_and_sound_requests", "beside_parts_that_differ",
    ),
    "new-parts-may-be-culprits": (
        CORE + "router/quarantine.rs",
        "is_suspected || subject.is_prompt_part() && !has_answer",
        "is_suspected || subject.is_prompt_part() && !has_answer && false",
        "crashing_parts_and_sound_requests", "two_bad_parts",
    ),
    "nothing-waits-behind-a-suspect": (
        CORE + "router/trial.rs",
        "            } else if now >= until {",
        "            } else if now >= until + Duration::from_secs(60) {",
        "router", "a_short_retry_after",
    ),
    "crashing-requests-are-quarantined": (
        CORE + "router/quarantine.rs",
        "if record.crashes.len() < settings.quarantine_after as usize {",
        "if record.crashes.len() < usize::MAX {",
        "quarantine", "crashes_few",
    ),
    "only-crashes-count": (
        CORE + "router/suspects.rs",
        "        if is_gone {",
        "        if is_gone || !losses.is_empty() {",
        "router", "upstreams_that_keep_running",
    ),
    "waits-for-the-check": (
        CORE + "router/attempts.rs",
        "outcome if self.awaits_check(&subject, &running.upstream) => {",
        "outcome if self.awaits_check(&subject, &running.upstream) && false => {",
        "router", "lost_twice",
    ),
    "a-failure-may-be-the-requests": (
        CORE + "router/failing.rs",
        "if record.first_at != *upstream {",
        "if false && record.first_at != *upstream {",
        "failing_requests", "fails_everywhere",
    ),
    "a-completion-shows-failing-upstreams": (
        CORE + "router/failing.rs",
        "        self.records.remove(&fingerprint);\n    }\n\n    fn insert",
        "        let _ = fingerprint;\n    }\n\n    fn insert",
        "failing_requests", "two_upstreams",
    ),
    "trials-of-a-model-wait": (
        CORE + "controller/load_crashes.rs",
        "let wait = backoff_after(record.crashes);",
        "let wait = backoff_after(record.crashes.min(1));",
        "crashing_models", "increasing_waits",
    ),
    "one-engine-tries-a-model": (
        CORE + "controller/load_crashes.rs",
        "attempting != host && now",
        "attempting != host && false && now",
        "crashing_models", "costs_one_engine",
    ),
    "a-load-that-succeeds-ends-it": (
        CORE + "controller/load_crashes.rs",
        "self.models.remove(model);",
        "let _ = model;",
        "crashing_models", "loads_again",
    ),
    "what-stands-is-taken-over": (
        CORE + "controller/mod.rs",
        "self.on_read(Versioned { version, value }, Origin::Foreign);",
        "self.on_read(Versioned { version, value }, Origin::Current);",
        "adoption", "another_writer_overwrote",
    ),
    "a-group-with-an-unlisted-member-is-adopted": (
        CORE + "controller/adoption.rs",
        "hosts_per_replica_of(&model, state)?.checked_sub(shown.len())?;",
        "hosts_per_replica_of(&model, state)?.checked_sub(shown.len())?;\n    if unknown_members > 0 {\n        return None;\n    }",
        "adoption", "while_a_member_is_unlisted",
    ),
    "a-listed-member-completes-its-group": (
        CORE + "controller/ordered_plan.rs",
        "        self.complete_adopted_groups(value, log);\n",
        "",
        "adoption", "while_a_member_is_unlisted",
    ),
    "a-listed-member-is-not-released": (
        CORE + "controller/departures.rs",
        "hosts.retain(|_, number| !is_incomplete(number));",
        "hosts.retain(|_, number| !is_incomplete(number) || number.0 > 0);",
        "adoption", "while_a_member_is_unlisted",
    ),
    "unknown-members-count-in-the-size": (
        CORE + "placement/planner.rs",
        "|| group.size() != self.intent.hosts_per_replica as usize",
        "|| group.members.len() != self.intent.hosts_per_replica as usize",
        "adoption", "while_a_member_is_unlisted",
    ),
    "a-stored-group-keeps-unlisted-members": (
        CORE + "controller/adoption.rs",
        "other.size() == group.size() && members",
        "other.members.len() == group.members.len() && members",
        "adoption", "keeps_a_member",
    ),
    "a-list-newer-than-what-is-foreign": (
        CORE + "controller/mod.rs",
        "            if !self.knows_running_groups() {\n                return (None, log);\n            }\n",
        "",
        "adoption", "sends_no_orders",
    ),
    "a-foreign-lease-waits-a-term": (
        CORE + "lease.rs",
        "            epoch: self.highest_epoch_before(version),\n            term_ms: self.settings.term.as_millis() as u64,",
        "            epoch: self.highest_epoch_before(version),\n            term_ms: 0,",
        "lease", "overwritten_lease",
    ),
    "raised-above-what-is-stored": (
        CORE + "lease.rs",
        "if self.held_epoch.is_some_and(|held| held < epoch) {",
        "if false && self.held_epoch.is_some_and(|held| held < epoch) {",
        "lease", "is_raised",
    ),
    "not-sent-out-of-the-line": (
        CORE + "router/refusal.rs",
        "quarantined.filter(|quarantined| !is_tried || quarantined.evidence == Evidence::Proven)",
        "quarantined.filter(|quarantined| is_tried && quarantined.evidence == Evidence::Proven)",
        "router", "while_the_same_one",
    ),
    "an-answer-ends-a-quarantine": (
        CORE + "router/quarantine.rs",
        "record.crashes.retain(|(_, at)| !is_refuted(*at));",
        "",
        "quarantine", "resets_the_count",
    ),
    "an-answer-is-an-objection": (
        CORE + "router/quarantine.rs",
        "if let Some(completion) = self.completion_since(fingerprint, quarantined.first_lost_at) {",
        "if let Some(completion) = self.completion_since(fingerprint, quarantined.first_lost_at).filter(|_| false) {",
        "quarantine", "objects_to",
    ),
    "quarantine-is-told-again": (
        CORE + "daemon/quarantine.rs",
        "quarantined.truncate(MAX_REPORTED);",
        "quarantined.clear();",
        "quarantine", "missed_the_update",
    ),
    "shown-in-a-group-is-not-used": (
        CORE + "controller/ordered_plan.rs",
        "avoided.extend(self.shown_in_a_group(value).into_keys());",
        "if self.trusts_absence() {\n"
        "    avoided.extend(self.shown_in_a_group(value).into_keys());\n}",
        "ordered", "with_an_old_list",
    ),
    "a-restarted-member-is-a-loss": (
        CORE + "controller/ordered.rs",
        "if shows_other && (status.group.is_some() || has_restarted) {",
        "if shows_other && status.group.is_some() {",
        "ordered", "by_its_answer",
    ),
    "silence-only-while-others-answer": (
        CORE + "controller/ordered.rs",
        "if !self.own_connectivity.trusts_silence(asked_at) {",
        "if false && !self.own_connectivity.trusts_silence(asked_at) {",
        "ordered", "a_holder_with",
    ),
    "silence-alone-is-no-loss": (
        CORE + "controller/silence.rs",
        ".silence_confirm\n            .max(self.settings.loss_confirm)",
        ".loss_confirm",
        "silent_hosts", "silent_for_a_second",
    ),
    "silence-counts-from-the-suspicion": (
        CORE + "controller/ordered.rs",
        "let from = suspected_from.max(last_output_at).max(reachable_since);",
        "let from = last_output_at.max(reachable_since);",
        "silent_hosts", "unreachable_for_long",
    ),
    "refused-connections-are-a-loss": (
        CORE + "controller/ordered.rs",
        "self.silences.has_ended(host)\n            ||",
        "false\n            ||",
        "silent_hosts", "whose_process_ended",
    ),
    "ended-processes-need-no-stall": (
        CORE + "controller/ordered.rs",
        "!is_suspect && !has_ended {", "!is_suspect {",
        "silent_hosts", "lost_without_a_stall",
    ),
    "comparison-grows-with-the-silent": (
        CORE + "controller/own_connectivity.rs",
        "const PROBES_PER_SILENT_HOST: usize = 3;",
        "const PROBES_PER_SILENT_HOST: usize = 0;",
        "silent_hosts", "in_a_single_fabric_domain",
    ),
    "most-must-answer": (
        CORE + "controller/own_connectivity.rs",
        "self.answered * 4 >= self.probed * 3",
        "self.answered > 0",
        "ordered", "few_answers",
    ),
    "near-peers-first": (
        CORE + "object_fetch.rs",
        "now.since(*since) >= LOCAL_WAIT",
        "now >= *since",
        "superseded", "from_the_own_failure_domain",
    ),
    "one-peer-for-whole-objects": (
        CORE + "object_fetch.rs",
        "if self.is_running {",
        "if false && self.is_running {",
        "superseded", "from_one_peer_at_a_time",
    ),
    "whole-objects-only-when-asked": (
        CORE + "daemon/peers.rs",
        "PullTopic::All | PullTopic::Objects => hosts.into_iter().collect(),",
        "PullTopic::All | PullTopic::Objects => {\n"
        "    let mut updates = self.state.full_objects_after(known);\n"
        "    updates.extend(hosts);\n    updates\n}",
        "configuration_spread", "catches_up",
    ),
    "closes-what-it-gives-up": (
        "shalehinge/src/utils/http.rs",
        'drop(conn.with_request_header(KnownHeaderName::Connection, "close"));',
        "drop(conn);",
        "http_client", "not_read_to_its_end",
    ),
    "out-of-date-is-not-served": (
        CORE + "daemon/mod.rs",
        "|| self.is_out_of_date(now) {",
        "|| false && self.is_out_of_date(now) {",
        "superseded", "outdated_configuration_stops",
    ),
    "a-start-confirms-nothing": (
        CORE + "daemon/configuration.rs",
        "Some(Timestamp::ZERO + valid_for.saturating_sub(age_at_start))",
        "Some(Timestamp::ZERO + valid_for.max(age_at_start))",
        "superseded", "includes_time_before_the_start",
    ),
    "age-counts-where-as-new": (
        CORE + "daemon/peers.rs",
        "reply.confirmed_ms_ago.filter(|_| is_up_to_date)",
        "reply.confirmed_ms_ago.filter(|_| is_up_to_date || true)",
        "superseded", "newer_configuration_does_not_confirm",
    ),
    "old-answer-of-a-lease": (
        CORE + "lease.rs",
        "if self.is_older(lease.as_ref()) {",
        "if false && self.is_older(lease.as_ref()) {",
        "lease", "does_not_delay",
    ),
    "exact-after-a-conflict": (
        CORE + "lease.rs",
        "        self.observation = None;\n        self.next_read_freshness = Freshness::Exact;\n    }\n\n    /// Handles a failed call",
        "        self.observation = None;\n        self.next_read_freshness = Freshness::MayBeStale;\n    }\n\n    /// Handles a failed call",
        "lease", "unseen_renewal",
    ),
    "changes-that-are-forgotten": (
        CORE + "routable_hosts.rs",
        "if version < self.complete_after {",
        "if false && version < self.complete_after {",
        "routable", "more_changes_than_the_log",
    ),
    "gone-from-routing-is-told": (
        CORE + "routable_hosts.rs",
        "None if before.is_some() => {",
        "None if false && before.is_some() => {",
        "routable", "add_up",
    ),
    "few-read-the-list": (
        CORE + "daemon/configuration.rs",
        "_ if !settings.relays => true,",
        "_ if settings.relays => true,",
        "relays", "few_daemons_read",
    ),
    "reads-when-peers-are-silent": (
        CORE + "daemon/relays.rs",
        "self.is_watcher(now) || self.has_relay_timed_out(now)",
        "self.is_watcher(now)",
        "relays", "death_of_all_watchers",
    ),
    "news-of-peers-where-turned-away": (
        CORE + "daemon/relays.rs",
        "if !self.is_own_host_feed_fresh(now) && self.peer_hosts_answered_at > answered_at {",
        "if false && self.peer_hosts_answered_at > answered_at {",
        "relays", "refused_by_the_platform",
    ),
    "ages-add-up": (
        CORE + "daemon/peers.rs",
        "hosts_ms_ago: hosts_answered_at.map(|at| now.millis_since(at)),",
        "hosts_ms_ago: hosts_answered_at.map(|_| 0),",
        "relays", "never_underestimated",
    ),
    "members-in-brief": (
        CORE + "membership.rs",
        "brief: own.iter().chain(&remote).map(|peer| peer.brief()).collect(),",
        "brief: { let _ = (&own, &remote); Vec::new() },",
        "membership", "duties_of_a_large_fleet",
    ),
    "models-over-the-fleet": (
        CORE + "placement/fleet_shares.rs",
        "let is_undersized = counts.values().any(|count| *count == 0);",
        "let is_undersized = false;",
        "shares", "hold_different_ones",
    ),
    "silent-member-is-no-surplus": (
        CORE + "placement/planner.rs",
        "current.filter(|n| self.is_reachable(n)).collect()",
        "current.collect()",
        "placement", "no_surplus_while_another",
    ),
    "evidence": (
        CORE + "router/upstream.rs",
        "self.spec.evidence == Evidence::Listed || now < self.complete_until",
        "true",
        "router", "without_fresh_evidence",
    ),
    "evidence-and-last-look": (
        CORE + "router/upstream.rs",
        "self.spec.evidence == Evidence::Listed || now < self.complete_until",
        "{ let _ = now; true }",
        "always", "fixed",
        (CORE + "router/upstream.rs",
         "Evidence::Reports => self.complete_until.min(deadline),",
         "Evidence::Reports => deadline,"),
    ),
    "members-age": (
        CORE + "router/upstream.rs",
        "asked_at.minus(Duration::from_millis(status.members_age_ms))",
        "asked_at",
        "router", "an_old_member_check",
    ),
    "release-acknowledged": (
        CORE + "controller/mod.rs",
        "self.releases.has_left(host, number)",
        "true",
        "always", "fixed",
    ),
    "attempt-id": (
        CORE + "router/target.rs",
        "self.running.take_if(|running| running.id == id)?;",
        "self.running.take_if(|_| id.sequence > 0)?;",
        "always", "fixed",
    ),
    "an-attempt-is-kept-until-another-has-gone-on": (
        CORE + "router/hedging.rs",
        "            None => self.send(now, request, selection, out),\n",
        "            None => {\n"
        "                let first = self.pending.get_mut(&request).and_then(|known| known.running.take());\n"
        "                if let Some(first) = first { out.push(RouterAction::Abandon(first.id)); }\n"
        "                self.send(now, request, selection, out)\n"
        "            }\n",
        "silent_upstreams", "kept_there_until_another_one_has_gone_on",
    ),
    "no-hedge-where-most-upstreams-are-silent": (
        CORE + "router/hedging.rs",
        "silent >= MIN_SILENT_TOGETHER && silent * 2 > busy().count()", "{ let _ = silent; false }",
        "hedging", "most_upstreams_are_silent",
    ),
    "events-are-passed-on-once": (
        "shalehinge/src/upstream/stream_position.rs",
        "let is_duplicate = id.is_some() && id <= self.last_event;", "let is_duplicate = false && id.is_some();",
        "stream_position", "not_passed_on_again",
    ),
    "earlier-attempt": (
        CORE + "router/target.rs",
        "Outcome::NotRun { .. } => self.earlier_outcome.unwrap_or(last),",
        "Outcome::NotRun { .. } => last,",
        "always", "fixed",
    ),
    "lost-is-unknown": (
        CORE + "router/attempts.rs",
        "AttemptEnd::NotSent | AttemptEnd::Refused => Outcome::NotRun {",
        "AttemptEnd::NotSent | AttemptEnd::Refused | AttemptEnd::Lost => Outcome::NotRun {",
        "always", "fixed",
    ),
    "not-repeatable": (
        CORE + "router/retries.rs",
        "pending.meta.repeatable && is_restartable",
        "is_restartable",
        "always", "fixed",
    ),
    "claim": (
        CORE + "claims.rs",
        "if value.claims.contains_key(&key) {\n                return ApplyOutcome::KeyTaken;",
        "if false {\n                return ApplyOutcome::KeyTaken;",
        "always", "fixed",
    ),
    "claim-read-back": (
        CORE + "claims.rs",
        "let result = if claim.claimant == claimant {",
        "let result = if claim.claimant == claimant || claim.state == ClaimState::Claimed {",
        "always", "fixed",
    ),
    "leaving": (
        CORE + "router/topology.rs",
        "group.phase != GroupPhase::Retiring\n        && !group",
        "group.phase != GroupPhase::Retiring\n        || !group",
        "focused", "leaving",
    ),
    "stop-waits": (
        CORE + "daemon/stopping.rs",
        "let is_done = is_served && !is_releasing;",
        "let is_done = true;",
        "always", "fixed",
    ),
    "retire-drains": (
        CORE + "controller/calls.rs",
        "Command::Release { drain: true }",
        "Command::Release { drain: false }",
        "always", "fixed",
    ),
    "revocation-unless-strict": (
        "shalehinge/src/settings/learning.rs",
        "self.revoke_within.filter(|_| self.strict_revocation)?",
        "self.revoke_within?",
        "settings", "where_revocation_is_not_strict",
    ),
    "revocation-strict": (
        "shalehinge/src/settings/learning.rs",
        "let within = self.revoke_within.filter(|_| self.strict_revocation)?;",
        "let within = self.revoke_within.filter(|_| !self.strict_revocation)?;",
        "settings", "of_a_strict_revocation_time",
    ),
    "never-reverts": (
        CORE + "fleet_state.rs",
        "update.fleet_version() > self.fleet_version()",
        "update.fleet_version() != self.fleet_version()",
        "focused", "older",
    ),
    "spread": (
        CORE + "daemon/peers.rs",
        "updates: self.updates_for(pull.topic, &pull.digest),",
        "updates: Vec::new(),",
        "focused", "from_its_peers",
    ),
    "suspects-told": (
        CORE + "daemon/mod.rs",
        "self.report_suspects(now, out);",
        "",
        "focused", "lost_member",
    ),
    "watch": (
        CORE + "daemon/configuration.rs",
        "self.membership.is_responsible(now, WATCH_DUTY, watchers)",
        "self.membership.is_responsible(now, WATCH_DUTY, watchers) && false",
        "always", "fixed",
    ),
    "successor-waits": (
        CORE + "lease.rs",
        "let is_expired = now.since(observation.changed_at) >= term;",
        "let is_expired = true;",
        "always", "fixed",
    ),
    "holder-counts-from-sending": (
        CORE + "lease.rs",
        "            self.record_held(pending.record.epoch, pending.sent_at);\n        }\n        let lease",
        "            self.record_held(pending.record.epoch, now + std::time::Duration::from_secs(4));\n        }\n        let lease",
        "always", "fixed",
    ),
    "unclear-confirm": (
        CORE + "operator.rs",
        "if inputs.version > confirm.base {",
        "if inputs.version >= confirm.base {",
        "operator", "may_still_take_effect",
    ),
    "opens-whole": (
        CORE + "controller/ordered.rs", "if all_ready {", "if true {",
        "ordered", "follow_from_shares",
    ),
    "silent-head": (
        CORE + "controller/departures.rs",
        "self.has_left(rank_zero, number) || has_stalled", "{ let _ = has_stalled; true }",
        "ordered", "silent_rank_zero",
    ),
    "list-age": (
        CORE + "controller/ordered.rs",
        ".is_some_and(|seen_at| self.is_list_newer(seen_at))", ".is_some()",
        "ordered", "older_than_the_assignment",
    ),
    "primed-hosts": (
        CORE + "controller/ordered.rs",
        "self.prime_hosts(now, epoch, &stored.value, &mut actions);", "",
        "ordered", "free_host_holds",
    ),
    "joins-without-loads": (
        CORE + "controller/staging.rs",
        "is_staged || is_last ||", "is_staged || (is_last && false) ||",
        "ordered", "need_no_part",
    ),
    "joining-is-no-holding": (
        CORE + "controller/staging.rs",
        "if is_ready || group.phase == GroupPhase::Serving {", "if is_ready || true {",
        "ordered", "no_faster",
    ),
    "unanswered-order": (
        CORE + "controller/mod.rs",
        "self.schedule_probe(now, host);", "self.on_no_status(now, asked_at, host);",
        "ordered", "ends_no_group",
    ),
    "lost-told": (
        CORE + "router/upstream.rs",
        "self.spec.accepts_new && !self.lost", "self.spec.accepts_new",
        "listed_routing", "lost_a_member",
    ),
    "stale-lag": (
        CORE + "feed.rs",
        "self.exact_until = now + EXACT_AFTER_LAG;", "",
        "learning", "lags_behind",
    ),
    "holder-known": (
        CORE + "membership.rs",
        "peer.holds_control && peer.failure_domain == *domain", "peer.failure_domain == *domain",
        "membership", "control",
    ),
    "retiring-without-gone": (
        CORE + "controller/ordered.rs",
        "let is_finished = group.phase == GroupPhase::Retiring && self.has_left(rank_zero, number);",
        "let is_finished = false;",
        "ordered", "does_not_block_a_retiring",
    ),
    "held-by-free": (
        CORE + "controller/mod.rs",
        "self.last_model.clone_from(&stored.value.held_by_free);", "",
        "ordered", "new_holder_knows",
    ),
    "silent-together": (
        CORE + "controller/reachability.rs",
        "let Some(since) = self.silent_since() else {",
        "let Some(since) = None::<Timestamp> else {",
        "ordered", "became_silent",
    ),
    "lapsed-entries": (
        CORE + "controller/ordered.rs",
        " && !self.list_outage.entries_may_reappear()", "",
        "ordered", "just_after_an_outage",
    ),
    "timely-first": (
        CORE + "router/wait_queue.rs",
        "while let Some((customer, share, mut waiting)) = self.timely.take_overdue(now) {",
        "while let Some((customer, share, mut waiting)) = self.timely.take_overdue(Timestamp::ZERO) {",
        "listed_routing", "late",
    ),
    "preemption": (
        CORE + "placement/planner.rs",
        "if self.preempt() {", "if false {",
        "placement", "preempted",
    ),
    "two-looks": (
        CORE + "controller/ordered.rs",
        "let is_second = asked_at > since;", "let is_second = true;",
        "ordered", "one_unanswered_probe",
    ),
    "paused-looks": (
        CORE + "controller/ordered.rs",
        "if now.since(asked_at) >= self.settings.loss_confirm * 2 {", "if false {",
        "ordered", "was_paused",
    ),
    "load-rate": (
        CORE + "controller/load_budget.rs", "if self.tokens < 1.0 {", "if false {",
        "ordered", "no_faster",
    ),
    "route-attempts": (
        CORE + "router/retries.rs",
        "max_runs.is_none_or(|limit| pending.possible_runs < limit)", "{ let _ = max_runs; true }",
        "listed_routing", "no_more_upstreams",
    ),
    "keys-confirmed": (
        CORE + "router/refusal.rs",
        "if is_out_of_date && meta.credential.is_some() {", "if false && is_out_of_date {",
        "listed_routing", "a_key_is_valid",
        (CORE + "router/refusal.rs",
         "let needs_key = pending.needs_confirmed_key();",
         "let needs_key = false && pending.needs_confirmed_key();"),
    ),
    "key-taken-away": (
        CORE + "router/keys.rs",
        "self.answer(request, self.not_run(NotRunReason::KeyTakenAway), out);", "",
        "listed_routing", "key_is_revoked",
    ),
    "paused-daemon": (
        CORE + "router/stalled.rs", "                if was_paused {", "                if false && was_paused {",
        "listed_routing", "was_paused",
    ),
    "reports-after-a-pause": (
        CORE + "router/expiry.rs", " && !awaits_reports {", " {",
        "taken_requests", "outlasts_a_pause",
    ),
    "freshness": (
        CORE + "feed.rs", "self.as_of = self.as_of.max(Some(pending_call.called_at)),", "self.as_of = Some(now),",
        "learning", "as_fresh",
    ),
    "signature": (
        "shalehinge/src/upstream/relay.rs",
        "if is_success && headers.get_str(names.signature).is_none() {", "if false && is_success {",
        "relay", "wrong_answers",
    ),
    "request-id": (
        "shalehinge/src/upstream/relay.rs",
        "if is_for_other_request || headers", "if headers",
        "relay", "wrong_answers",
    ),
    "promise": (
        "shalehinge/src/upstream/relay.rs",
        "NOT_RUN_STATUSES\n        .contains(&status)\n        .then_some(AttemptEnd::Lost)",
        "NOT_RUN_STATUSES\n        .contains(&status)\n        .then_some(AttemptEnd::Refused)",
        "relay", "wrong_answers",
    ),
    "key-stays": (
        "shalehinge/src/gateway/relay.rs", '["authorization", ', '["x-nothing", ',
        "relay", "goes_through_unchanged",
    ),
    "headers-named-by-connection-stay": (
        "shalehinge/src/utils/headers.rs",
        "            && !connection_headers.iter().any(|other| other == name)\n", "",
        "gateway", "headers_of_a_plain_service",
    ),
    "repeated-headers-are-forwarded": (
        "shalehinge/src/utils/headers.rs",
        ".map(|(name, values)| (name.to_owned(), values.clone()))",
        ".filter_map(|(name, values)| Some((name.to_owned(), values.one()?.clone())))",
        "gateway", "headers_of_a_plain_service",
    ),
    "all-listeners-share-one-deadline": (
        "shalehinge/src/process/run.rs",
        "let time_left = deadline.saturating_duration_since(Instant::now());",
        "let time_left = Duration::from_secs(6);",
        "gateway", "stop_within_once",
    ),
    "owners-of-limits-are-named": (
        CORE + "daemon/limits.rs",
        "        self.membership.merge_member(now, named.owner.clone());\n",
        "",
        "limited_upstreams", "do_not_know_the_owner",
    ),
    "diverted-requests-are-made-up-for": (
        CORE + "router/choose.rs",
        "open.iter().copied().filter(is_owed).collect();",
        "open.iter().copied().filter(is_owed).filter(|_| false).collect();",
        "limited_upstreams", "a_slow_limit_is_used",
    ),
    "bodies-have-a-time-limit": (
        "shalehinge/src/utils/body.rs",
        "Some(timeout), memory.body()", "None, memory.body()",
        "gateway", "an_incomplete_request_of_an_operator_or_a_peer",
    ),
    "no-expect": (
        "shalehinge/src/utils/http.rs",
        ".with_max_buffered_request_body(NEVER_EXPECT_CONTINUE)", "",
        "relay", "goes_through_unchanged",
    ),
    "empty-list-admits-nobody": (
        CORE + "routes.rs",
        "requires_keys: fleet.admits_no_customer || !fleet.customers.is_empty()",
        "requires_keys: !fleet.customers.is_empty()",
        "learning", "an_empty_list_of_customers",
    ),
    "limit-of-no-slots": (
        CORE + "router/upstream.rs",
        "share.ceil().min(capacity.ceil()).max(1.0)",
        "share.ceil().clamp(1.0, capacity.ceil())",
        "foreign_values", "",
    ),
    "heads-are-held": (
        "shalehinge/src/process/run.rs",
        "            .with_acceptor(self.acceptor.clone())\n", "",
        "request_heads", "byte_by_byte_takes_little",
    ),
    "connections-have-places": (
        "shalehinge/src/utils/request_transport.rs",
        "if !transport.place.resize(1) {", "if !transport.place.resize(1) && false {",
        "gateway", "above_the_limit_is_refused",
    ),
    "heads-have-a-time-limit": (
        "shalehinge/src/utils/request_transport.rs",
        "if Pin::new(due).poll(context).is_ready() {", "if false && Pin::new(due).poll(context).is_ready() {",
        "request_heads", "complete_in_time",
    ),
    "accept-waits-after-an-error": (
        "shalehinge/src/utils/listener.rs",
        "                    Timer::after(RETRY_DELAY).await;\n",
        "                    Timer::after(Duration::ZERO).await;\n",
        "listeners", "accept_waits",
    ),
    "ended-accept-loops-end-the-process": (
        "shalehinge/src/utils/listener.rs",
        "        if self.is_shut_down {\n            return;",
        "        if true {\n            return;",
        "listeners", "an_accept_loop_that_ends",
    ),
    "stalled-core-ends-the-process": (
        "shalehinge/src/process/watchdog.rs",
        "if detector.check(driver.last_tick_ms()) {",
        "if detector.check(driver.last_tick_ms()) && false {",
        "core_panic", "a_tick_that_does_not_end",
    ),
    "entry-without-slots": (
        CORE + "router/upstream.rs",
        "share.ceil().min(capacity.ceil()).max(1.0)",
        "share.ceil().clamp(1.0, capacity.ceil())",
        "foreign_entries", "an_entry_without_slots",
        ("platform/src/servers.rs", "type Slots = Integer<1,", "type Slots = Integer<0,"),
    ),
    "core-heartbeat": (
        "shalehinge/src/process/core_cell.rs",
        "u128::from(age_ms) <= HEARTBEAT_TIMEOUT.as_millis()", "true",
        "core_panic", "",
    ),
    "bands-by-rank": (
        CORE + "admission/shortage.rs",
        "(higher + hash * own) / total", "hash",
        "admission", "lower_ranks_come_last",
    ),
    "ready-first": (
        CORE + "daemon/mod.rs",
        "self.state.fleet().is_some() && !self.is_leaving", "self.state.fleet().is_some()",
        "relay", "planned_stop",
    ),
}

# Tests that belong to the member that translates.
PLATFORM_TESTS = {"foreign_entries", "malformed_responses", "relay", "request_heads"}
# Precedes the name of a test that both packages have.
PLATFORM_PREFIX = "platform/"


def copy_tree():
    """A copy of the tracked files as they are in the working tree."""
    if COPY.exists():
        shutil.rmtree(COPY)
    names = subprocess.run(
        ["git", "ls-files"], cwd=ROOT, check=True, capture_output=True, text=True
    ).stdout.split("\n")
    for name in filter(None, names):
        source, target = ROOT / name, COPY / name
        if source.exists():
            target.parent.mkdir(parents=True, exist_ok=True)
            shutil.copy(source, target)


def edits_of(name):
    """The edits of a row: file, text as it stands, text without the protection."""
    file, stands, without, _, _, *further = PROTECTIONS[name]
    return [(file, stands, without), *further]


def stale_rows():
    """Rows whose texts don't stand in the tree once, a line each."""
    counts = [
        (name, file, (ROOT / file).read_text().count(stands))
        for name in PROTECTIONS
        for file, stands, _ in edits_of(name)
    ]
    return [f"{name}: the text stands {count} times in {file}" for name, file, count in counts if count != 1]


def take_out(name, edits):
    """Takes the protection out of the copy; the old texts, or None if it can't."""
    old = {}
    for file, stands, without in edits:
        path = COPY / file
        text = path.read_text()
        old.setdefault(path, text)
        if text.count(stands) != 1:
            print(f"{name}: the text stands {text.count(stands)} times in {file}; mend this table")
            return None
        path.write_text(text.replace(stands, without))
    return old


def red_run(name):
    """Runs the test without the protection; true if it failed as it should."""
    test, pattern = PROTECTIONS[name][3:5]
    old = take_out(name, edits_of(name))
    if old is None:
        return False
    is_platform = test in PLATFORM_TESTS or test.startswith(PLATFORM_PREFIX)
    package = "shalehinge-platform" if is_platform else "shalehinge"
    test = test.removeprefix(PLATFORM_PREFIX)
    command = [
        "cargo", "test", "-p", package, "--locked", "--target-dir", str(BUILD),
        "--test", test, pattern,
    ]
    result = subprocess.run(command, cwd=COPY, capture_output=True, text=True)
    for path, text in old.items():
        path.write_text(text)
    output = result.stdout + result.stderr
    if "could not compile" in output:
        print(f"{name}: does not compile without the protection\n{output}")
        return False
    lines = [
        line.strip()[:200]
        for line in output.splitlines()
        if "seed " in line or "left:" in line or "panicked" in line
    ]
    is_red = result.returncode != 0
    print(f"{name}: {'red, as it should be' if is_red else 'STILL GREEN'}")
    for line in lines[:3]:
        print(f"    {line}")
    return is_red


def main():
    if sys.argv[1:] == ["--check"]:
        sys.exit("\n".join(stale_rows()) or None)
    names = sys.argv[1:] or list(PROTECTIONS)
    copy_tree()
    failed = [name for name in names if not red_run(name)]
    if failed:
        print("not red:", ", ".join(failed))
        sys.exit(1)


main()
