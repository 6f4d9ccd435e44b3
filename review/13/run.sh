#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH="target/deps:." PYTHONDONTWRITEBYTECODE=1 \
    timeout -k 5 115 python3 -m review.13.case
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
