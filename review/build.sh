#!/bin/sh
# Builds what the review's scripts start besides the deploy file's build: the stand-ins
# (plain Python, so they are only checked) and an earlier build of this project, from
# the history, for the case of an upgrade.
set -e
cd "$(dirname "$0")"
python3 - <<'CHECK'
import ast
from pathlib import Path

for path in sorted(Path(".").rglob("*.py")):
    ast.parse(path.read_text(), str(path))
print("the stand-ins can be read")
CHECK
cd ..
earlier=bc1e00f
rm -rf target/review-earlier
mkdir -p target/review-earlier
git archive "$earlier" deploy packages platform | tar -x -C target/review-earlier
echo "the earlier build is in target/review-earlier"
