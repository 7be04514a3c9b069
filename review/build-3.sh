#!/bin/sh
# The stand-ins are Python modules of this repository; compiling them shows that
# they and the libraries that they import are there.
cd "$(dirname "$0")/.." || exit 1
python3 -m compileall -q review/harness_3 tests/stand_ins || exit 1
PYTHONPATH=target/deps:tests:review python3 -c \
    "from harness_3 import deployment"
