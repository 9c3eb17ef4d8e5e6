#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. They are Python programs on the standard
# library alone, so they are only compiled, and the build of the deploy file is checked.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH=. PYTHONPYCACHEPREFIX="${TMPDIR:-/tmp}/ebonyhub-review-3"
python3 -m compileall -q review/standins3 review/1[1-5]
python3 -c "import review.standins3.platform"
PYTHONPATH=target/deps python3 -c "import blacksheep, msgspec, msgpack, uvicorn, yaml"
