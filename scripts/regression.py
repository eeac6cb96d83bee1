#!/usr/bin/env python3
"""Scores deployments and compares the mean worth of their days with trouble with committed figures.

Works on a copy of the tracked files under target/ablation, as scripts/ablation.py does; the
journal entries are copied back. Exits with 1 if a site's gate fails, a rule is broken, or a mean
lies more than ALLOWED below its figure in docs/regression.json.

Usage: scripts/regression.py --bench PROGRAM [--jobs N] [--update] --why TEXT SITE...
With --update the figures of the sites are replaced by those measured.
"""

import argparse
import json
import pathlib
import shutil
import statistics
import subprocess
import sys

import ablation

FIGURES = ablation.ROOT / "docs" / "regression.json"
# How far a mean may fall; below that one score does not tell it from the spread of its days.
ALLOWED = 0.03
QUIET = "quiet"


def score(bench, site, jobs, why):
    """Scores one site; returns its journal entry."""
    journal = ablation.TREE / "journal"
    before = set(journal.glob("*.json"))
    command = [bench, "score", str(site), "--jobs", str(jobs), "--why", why]
    subprocess.run(command, cwd=ablation.TREE, check=False)
    entries = set(journal.glob("*.json")) - before
    if not entries:
        raise SystemExit(f"{site}: the bench wrote no journal entry")
    return json.loads(max(entries).read_text())


def mean_worth(entry):
    """Mean worth of the standard days with trouble."""
    days = [day for day in entry["days"] if not day["name"].startswith("fresh")]
    return statistics.mean(day["G"] for day in days if day["kind"] != QUIET)


def problems(entry, known):
    """What is worse than allowed, in words."""
    found = []
    for day in entry["days"]:
        if day["rules"]:
            found.append(f"{day['name']}: broken {', '.join(day['rules'])}")
        if not day["gate"]:
            found.append(f"{day['name']}: gate failed")
    mean = mean_worth(entry)
    if known is not None and mean < known - ALLOWED:
        found.append(f"mean worth {mean:.3f}, {known - mean:.3f} below {known:.3f}")
    return found


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--bench", required=True)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--update", action="store_true")
    parser.add_argument("--why", required=True)
    parser.add_argument("sites", nargs="+", type=pathlib.Path)
    arguments = parser.parse_args()
    figures = json.loads(FIGURES.read_text()) if FIGURES.exists() else {}
    ablation.make_copy()
    is_worse = False
    for site in arguments.sites:
        entry = score(arguments.bench, site.resolve(), arguments.jobs, arguments.why)
        found = problems(entry, figures.get(site.stem))
        print(f"{site.stem}: {mean_worth(entry):.3f}", *(found or ["held"]), sep="\n  ")
        is_worse |= bool(found)
        if arguments.update:
            figures[site.stem] = round(mean_worth(entry), 3)
    source, target = ablation.TREE / "journal", ablation.ROOT / "journal"
    shutil.copytree(source, target, dirs_exist_ok=True)
    if arguments.update:
        FIGURES.write_text(json.dumps(figures, indent=2, sort_keys=True) + "\n")
    sys.exit(1 if is_worse else 0)


if __name__ == "__main__":
    main()
