#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH=target/deps:tests:review
python3 -c "from stage import script" || exit 2
exec python3 review/10/case.py
