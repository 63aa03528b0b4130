#!/bin/sh
# Plays the case; exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 it
# does the same without the disruption. Needs the build of the deploy file and review/build.sh.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/release/fuchsiamilld ] && [ -x target/review/drill ] || exit 2
exec target/review/drill many-ends "$here/record.txt"
