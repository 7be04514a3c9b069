#!/usr/bin/env bash
# Plays this case: exits with 1 if the rule was broken, 0 if it held, and 2 if
# the case could not run. TROUBLE=0 leaves the disruptions out.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
export PYTHONPATH=target/deps:tests:review PYTHONDONTWRITEBYTECODE=1
timeout 115 python3 "$folder/case.py"
case $? in
  0) exit 0 ;;
  10) exit 1 ;;
  *) exit 2 ;;
esac
