#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review. They are scripts of the standard library,
# so only the interpreter and the result of the deploy file's build are checked.
set -euo pipefail
cd "$(dirname "$0")/.."
test -d target/deps/hillstack
python3 -c 'import asyncio, sys; sys.exit(sys.version_info < (3, 11))'
