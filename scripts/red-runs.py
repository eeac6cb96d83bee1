#!/usr/bin/env python3
"""Takes out one protection at a time and shows that a test then fails.

Works on a copy of the tracked files under target/red, never on the tree itself.
Usage: scripts/red-runs.py [NAME ...]; without a name, all of them in turn.
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
    "evidence": (
        CORE + "router/upstream.rs",
        "self.spec.group.is_none() || now < self.complete_until",
        "true",
        "router", "without_fresh_evidence",
    ),
    "evidence-and-last-look": (
        CORE + "router/upstream.rs",
        "self.spec.group.is_none() || now < self.complete_until",
        "{ let _ = now; true }",
        "always", "fixed",
        (CORE + "router/upstream.rs",
         "Some(_) => self.complete_until.min(deadline),",
         "Some(_) => deadline,"),
    ),
    "members-age": (
        CORE + "router/upstream.rs",
        "asked_at.minus(Duration::from_millis(status.members_age_ms))",
        "asked_at",
        "router", "has_not_looked",
    ),
    "release-acknowledged": (
        CORE + "controller/mod.rs",
        "self.released.get(host) == Some(&number)",
        "true",
        "always", "fixed",
    ),
    "attempt-id": (
        CORE + "router/dispatch.rs",
        "pending.running.as_ref().is_none_or(|r| r.id != attempt)",
        "pending.running.is_none()",
        "always", "fixed",
    ),
    "earlier-attempt": (
        CORE + "router/target.rs",
        "Outcome::NotRun { .. } => self.earlier.unwrap_or(last),",
        "Outcome::NotRun { .. } => last,",
        "always", "fixed",
    ),
    "lost-is-unknown": (
        CORE + "router/dispatch.rs",
        "AttemptEnd::NotSent | AttemptEnd::Refused => not_run(NotRunReason::Refused),",
        "AttemptEnd::NotSent | AttemptEnd::Refused | AttemptEnd::Lost => not_run(NotRunReason::Refused),",
        "always", "fixed",
    ),
    "not-repeatable": (
        CORE + "router/dispatch.rs",
        "pending.meta.repeatable && !pending.seen_output",
        "!pending.seen_output",
        "always", "fixed",
    ),
    "claim": (
        CORE + "claims.rs",
        "if value.claims.contains_key(&key) {",
        "if false {",
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
        "let is_done = self.router.pending() == 0 && self.claimed.is_empty();",
        "let is_done = true;",
        "always", "fixed",
    ),
    "retire-drains": (
        CORE + "controller/calls.rs",
        "Command::Release { drain: true }",
        "Command::Release { drain: false }",
        "always", "fixed",
    ),
    "never-reverts": (
        CORE + "fleet_state.rs",
        "slot.as_ref().is_none_or(|known| version > known.version)",
        "slot.as_ref().is_none_or(|known| version != known.version)",
        "focused", "older",
    ),
    "spread": (
        CORE + "daemon/peers.rs",
        "updates: self.state.newer_than(&pull.digest),",
        "updates: Vec::new(),",
        "focused", "peers_hold",
    ),
    "suspects-told": (
        CORE + "daemon/mod.rs",
        "self.tell_suspects(now, out);",
        "",
        "focused", "lost_member",
    ),
    "watch": (
        CORE + "daemon/configuration.rs",
        'if self.membership.is_responsible(now, "watch", WATCHERS) {',
        "if false {",
        "always", "fixed",
    ),
    "successor-waits": (
        CORE + "lease.rs",
        "let lapsed = now.since(observation.changed_at) >= term;",
        "let lapsed = true;",
        "always", "fixed",
    ),
    "holder-counts-from-sending": (
        CORE + "lease.rs",
        "self.hold(pending.record.epoch, pending.sent_at);\n        let lease",
        "self.hold(pending.record.epoch, now + std::time::Duration::from_secs(4));\n        let lease",
        "always", "fixed",
    ),
    "unclear-confirm": (
        CORE + "operator.rs",
        "if known.version > confirm.base {",
        "if known.version >= confirm.base {",
        "operator", "may_still_land",
    ),
}


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
    file, stands, without, test, pattern, *further = PROTECTIONS[name]
    old = take_out(name, [(file, stands, without), *further])
    if old is None:
        return False
    command = [
        "cargo", "test", "-p", "shalehinge", "--locked", "--target-dir", str(BUILD),
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
    names = sys.argv[1:] or list(PROTECTIONS)
    copy_tree()
    failed = [name for name in names if not red_run(name)]
    if failed:
        print("not red:", ", ".join(failed))
        sys.exit(1)


main()
