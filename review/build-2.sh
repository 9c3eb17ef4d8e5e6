#!/usr/bin/env bash
# Builds what the scripts of the second review start, after the build of the deploy file.
# The stand-ins are Python modules of this repository and need no compiler and no network:
# only the libraries in target/deps, which the build of deploy/system.toml has put there.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps:src:. PYTHONDONTWRITEBYTECODE=1
python3 -c "import review.rig, soak.proxy, standins.job_platform, standins.network"
