#!/usr/bin/env bash
# The scripts use stand-ins in Python only, which need no build; checks that they can run.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m py_compile review/standin/world.py review/*/case.py
find review -name __pycache__ -type d -prune -exec rm -r {} +
test -x target/release/shalehinge-entry || cargo build --release --locked -p shalehinge-platform
