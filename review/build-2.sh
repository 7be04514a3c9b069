#!/bin/sh
# Prepares the stand-ins of review/6 to review/10, the project's own included.
# They are Python and use the libraries that the build of the deploy file puts
# into target/deps; this compiles them and checks that they can be imported.
set -e
cd "$(dirname "$0")/.."
python3 -m compileall -q tests/stand_ins review/stage review/6 review/7 \
  review/8 review/9 review/10
PYTHONPATH=target/deps:tests:review python3 -c "
from stage import advice, deployment, record, script, workers
from stand_ins import free_ports, http_server, platform_store, platform_worker
"
