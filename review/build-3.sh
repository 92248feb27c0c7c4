#!/usr/bin/env bash
# Builds what the scripts of review 3 start besides the instances: the
# stand-ins in review/standins3.py need nothing but Python's library, so that
# there is only a check that they and the scripts compile.
set -eu
cd "$(dirname "$0")/.."
python3 - review/standins3.py review/cluster3.py review/1[1-5]/case.py <<'P'
import pathlib, sys

for name in sys.argv[1:]:
    if pathlib.Path(name).is_file():
        compile(pathlib.Path(name).read_text(encoding="utf-8"), name, "exec")
P
