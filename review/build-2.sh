#!/bin/bash
# Checks the stand-ins of the cases 4 to 8. They are Python programs, so nothing is compiled; the
# programs of the project that they start are built by the command of deploy/system.toml.
cd "$(dirname "$0")" || exit 1
python3 - standin-2/*.py [4-8]/case.py <<'EOF'
import ast
import sys

for path in sys.argv[1:]:
    with open(path) as file:
        ast.parse(file.read(), path)
EOF
