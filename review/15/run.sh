#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review3/appended ] && [ -x target/berylswitch ] || exit 2
export CASE_DIR=review/15
exec timeout 115 target/review3/appended
