#!/usr/bin/env bash
# Prepares what the scripts start. The entry hosts come from the build line of
# the deploy file, which has run before; the stand-ins, the project's own and
# those of `lab/`, are Python and are only checked for being complete.
cd "$(dirname "$0")/.." || exit 1
export PYTHONPATH=target/deps:tests:review PYTHONDONTWRITEBYTECODE=1
[ -d target/deps/chervillead ] || python3 deploy/build.py || exit 1
exec python3 -c "from lab import deployment, workers"
