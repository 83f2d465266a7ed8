#!/usr/bin/env bash
# Plays the case. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case
# could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/briarstand-entry ] && [ -x target/review-standin ] || { echo "not built" >&2; exit 2; }
exec target/review-standin restart review/4/record.txt
