#!/bin/sh
# Builds what the scripts of the third review start besides the programs of the
# deploy file: the project's stand-ins and the review's own. All are Python and
# use the packages that the build of the deploy file puts into target/deps.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH="target/deps:." python3 -c \
    "import standins.platform_store, review.third.engine, review.third.fleet"
