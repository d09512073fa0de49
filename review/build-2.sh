#!/usr/bin/env bash
# Builds what the scripts of the second review start besides the project's own daemons.
# Their stand-ins are Python of the standard library: only checked here.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
python3 -c 'import sys; assert sys.version_info >= (3, 11), "Python 3.11 is needed"'
for file in harness2.py [6-9]/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
