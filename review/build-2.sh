#!/usr/bin/env bash
# Builds what the scripts of cases 6 to 10 start besides the roles of the deploy file:
# their stand-ins, which run in the script itself and use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review/harness_2.py review/[6-9] $([ -d review/10 ] && echo review/10)
[ -d target/deps ] || { echo "build the deploy file first" >&2; exit 1; }
