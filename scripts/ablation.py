#!/usr/bin/env python3
"""Plays days of a deployment with settings changed one at a time, and tabulates the worth.

Works on a copy of the tracked files under target/ablation; each variant replaces lines of
its platform/settings.ini. All variants play the same days with the same seeds, so that
their figures are compared in pairs. The journal entries are copied back.

Usage: scripts/ablation.py --bench PROGRAM --site FILE... [--days DAY,...] [--seeds N,...]
           [--jobs N] [--variant NAME:SECTION.KEY=VALUE[,SECTION.KEY=VALUE...]]...
           [--table FILE.md] [--plot FILE.svg] --why TEXT
Without --variant, the mechanisms of VARIANTS are switched off one by one.
"""

import argparse
import concurrent.futures
import itertools
import json
import pathlib
import shutil
import statistics
import subprocess

ROOT = pathlib.Path(__file__).resolve().parent.parent
TREE = ROOT / "target" / "ablation"
SETTINGS = "platform/settings.ini"
DAYS = "trouble-1,scale-1,trouble-2,scale-2,trouble-3"

# Name: the lines that switch a mechanism off.
VARIANTS = {
    "choice by score": {"router.policy": "least-in-flight"},
    "ejection after failures": {"router.eject_after": "100000"},
    "moving from stalled replicas": {"router.stall_after": "60s"},
    "suspicion told to the holder": {"router.suspect_after": "60s"},
    # So short a time makes the holder pass over every silent probe.
    "losses found by probes": {"control.loss_confirm": "1ms"},
    "early refusal": {"router.early_refusal": "no"},
    "retry burst sharing": {"router.retry_burst_is_shared": "no"},
    "KV reservation": {"router.reserve_kv": "no"},
    "stale watches": {"learning.stale_watches": "no"},
    "revocation by the bounds": {"learning.strict_revocation": "yes"},
    "free loads at the start": {"control.free_loads_within": "1ms"},
}


def with_settings(text, changes):
    """The settings with these keys replaced, or added to their section."""
    for name, value in changes.items():
        section, key = name.split(".")
        lines = text.splitlines()
        start = lines.index(f"[{section}]")
        ends = [i for i in range(start + 1, len(lines)) if lines[i].startswith("[")]
        end = ends[0] if ends else len(lines)
        line = f"{key} = {value}"
        for index in range(start + 1, end):
            if lines[index].split("=")[0].strip() == key:
                lines[index] = line
                break
        else:
            lines.insert(start + 1, line)
        text = "\n".join(lines) + "\n"
    return text


def make_copy():
    """Brings the copy of the tracked files up to date."""
    tracked = subprocess.run(["git", "ls-files", "-z"], cwd=ROOT, check=True, capture_output=True)
    for path in tracked.stdout.decode().split("\0"):
        source = ROOT / path
        if not path or path.startswith("journal/") or not source.exists():
            continue
        target = TREE / path
        target.parent.mkdir(parents=True, exist_ok=True)
        if not target.exists() or target.read_bytes() != source.read_bytes():
            shutil.copy2(source, target)
    if not (TREE / ".git").exists():
        subprocess.run(["git", "init", "-q"], cwd=TREE, check=True)


def play(bench, variant, site, day, seed, why):
    """Plays one day; returns its worth and the broken rules."""
    report = TREE / f"report-{site.stem}-{day}-{seed}.json"
    command = [bench, "run", str(site), day, "--jobs", "1", "--report", str(report)]
    command += ["--why", f"{why}: {variant}"]
    if seed:
        command += ["--seed", seed]
    run = subprocess.run(command, cwd=TREE, capture_output=True, text=True)
    if not report.exists():
        raise SystemExit(f"{variant} {site.stem} {day} {seed}: {run.stdout[-800:]}{run.stderr[-800:]}")
    figures = json.loads(report.read_text())
    report.unlink()
    return figures["G"], sorted(figures["breaks"])


def table(rows, base):
    """The rows as Markdown: mean worth, and the mean difference of the pairs."""
    lines = ["| variant | site | days played | mean worth | against all on | spread of the pairs | broken |"]
    lines += ["|---|---|---|---|---|---|---|"]
    for (variant, site), plays in rows.items():
        worths = [worth for worth, _ in plays.values()]
        pairs = [plays[key][0] - rows[(base, site)][key][0] for key in plays]
        broken = sorted({rule for _, rules in plays.values() for rule in rules})
        spread = statistics.stdev(pairs) if len(pairs) > 1 else 0.0
        lines.append(
            f"| {variant} | {site} | {len(worths)} | {statistics.mean(worths):.3f} "
            f"| {statistics.mean(pairs):+.3f} | {spread:.3f} | {' '.join(broken) or 'none'} |"
        )
    return "\n".join(lines) + "\n"


def plot(rows, base, path):
    """Bars of the mean difference of the pairs, by variant and site."""
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot

    variants = [v for v in dict.fromkeys(variant for variant, _ in rows) if v != base]
    sites = list(dict.fromkeys(site for _, site in rows))
    figure, axes = pyplot.subplots(figsize=(9, 0.5 * len(variants) + 2))
    height = 0.8 / len(sites)
    for index, site in enumerate(sites):
        means = []
        for variant in variants:
            plays = rows[(variant, site)]
            pairs = [plays[key][0] - rows[(base, site)][key][0] for key in plays]
            means.append(statistics.mean(pairs))
        places = [place + index * height for place in range(len(variants))]
        axes.barh(places, means, height, label=site)
    axes.set_yticks([place + 0.4 - height / 2 for place in range(len(variants))], variants)
    axes.axvline(0, color="black", linewidth=0.8)
    axes.set_xlabel("mean worth with the mechanism off, minus with all on")
    axes.legend()
    figure.tight_layout()
    figure.savefig(path)


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--bench", required=True)
    parser.add_argument("--site", required=True, nargs="+", type=pathlib.Path)
    parser.add_argument("--days", default=DAYS)
    parser.add_argument("--seeds", default="")
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--variant", action="append", default=[])
    parser.add_argument("--table", type=pathlib.Path)
    parser.add_argument("--plot", type=pathlib.Path)
    parser.add_argument("--why", required=True)
    arguments = parser.parse_args()
    variants = dict(VARIANTS)
    if arguments.variant:
        variants = {}
        for text in arguments.variant:
            name, _, changes = text.partition(":")
            variants[name] = dict(change.split("=", 1) for change in changes.split(",") if change)
    bench = str(pathlib.Path(arguments.bench).resolve())
    sites = [site.resolve() for site in arguments.site]
    base = "all on"
    make_copy()
    subprocess.run([bench, "build"], cwd=TREE, check=True)
    written = (ROOT / SETTINGS).read_text()
    rows = {}
    for variant, changes in {base: {}, **variants}.items():
        (TREE / SETTINGS).write_text(with_settings(written, changes))
        keys = itertools.product(sites, arguments.days.split(","), arguments.seeds.split(","))
        with concurrent.futures.ThreadPoolExecutor(arguments.jobs) as pool:
            plays = {
                key: pool.submit(play, bench, variant, *key, arguments.why) for key in keys
            }
        for (site, day, seed), task in plays.items():
            rows.setdefault((variant, site.stem), {})[(day, seed)] = task.result()
    for entry in TREE.glob("journal/*.json"):
        shutil.copy2(entry, ROOT / "journal" / entry.name)
    text = table(rows, base)
    print(text)
    if arguments.table:
        arguments.table.write_text(text)
    if arguments.plot:
        plot(rows, base, arguments.plot)


if __name__ == "__main__":
    main()
