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
if git archive -o target/review-earlier.tar "$earlier" deploy packages platform; then
    tar -x -C target/review-earlier -f target/review-earlier.tar
    rm -f target/review-earlier.tar
    echo "the earlier build is in target/review-earlier"
else
    rm -rf target/review-earlier target/review-earlier.tar
    echo "no earlier build in this history: review/4 can't run" >&2
fi
