#!/usr/bin/env bash
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH=. PYTHONDONTWRITEBYTECODE=1
timeout -s INT -k 5 115 python3 review/14/case.py
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
