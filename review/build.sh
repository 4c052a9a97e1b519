#!/usr/bin/env bash
# The stand-ins are Python and need what the deploy file's build installs: check it.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH="review:src:target/deps" python3 -c "import bed"
