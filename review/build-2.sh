#!/usr/bin/env bash
# Checks that all programs of the cases 6 to 10 start; none has to be compiled.
# It needs the packages that the build of the deploy file puts in target/deps.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPATH="target/deps:." PYTHONDONTWRITEBYTECODE=1
for module in hibiscuspin.platform.app standins.platform_store \
    standins.platform_engine review.second.deployment \
    review.second.engine review.second.store_gate review.second.garbler; do
  python3 -c "import $module"
done
echo "the stand-ins of the second review are ready"
