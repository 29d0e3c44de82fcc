#!/usr/bin/env bash
# Builds what the cases start besides the build of the deploy file: the stand-ins are Python modules
# of review/common and of the package's own emulator, which that build has laid under target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review target/deps/hillstack/emulator
PYTHONPATH=target/deps:review python3 -c "import common.deployment"
