#!/bin/sh
# Plays the case of claim.txt. Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
here=$(cd "$(dirname "$0")" && pwd) && cd "$here/../.." || exit 2
[ -x target/aspenyard ] && [ -x target/review-2 ] || exit 2
RECORD="$here/record.txt" exec target/review-2 -test.run '^TestVerdictAfterARestart$' -test.timeout=110s
