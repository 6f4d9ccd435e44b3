#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH="target/deps:." PYTHONDONTWRITEBYTECODE=1 \
  timeout -k 5 115 python3 review/10/case.py
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
