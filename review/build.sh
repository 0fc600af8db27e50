#!/usr/bin/env bash
# Prepares the stand-ins of the cases after the build of the deploy file. They are Python programs that need only
# its standard library (3.8 or newer), so there is nothing to compile; this checks that they can be read and run.
set -eu
cd "$(dirname "$0")"
python3 - stand_ins.py [1-5]/*.py <<'PY'
import ast
import sys
if sys.version_info < (3, 8):
    sys.exit("python 3.8 or newer is needed")
for path in sys.argv[1:]:
    ast.parse(open(path).read(), path)
PY
[ -x ../target/dist/medlar-node ] || { echo "target/dist/medlar-node is missing: run the build of deploy/system.toml" >&2; exit 1; }
