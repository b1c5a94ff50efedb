#!/usr/bin/env bash
# Runs a case of the driver: run-case.sh NAME FOLDER. Ends with 1 if the rule was broken, 0 if it held, 2 if
# the case could not run.
export REVIEW_CASE=$1 REVIEW_RECORD=$2/record.txt REVIEW_ROOT
REVIEW_ROOT=$(cd "$(dirname "$0")/.." && pwd)
cd "$REVIEW_ROOT" || exit 2
timeout -k 2 110 target/review-driver
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
