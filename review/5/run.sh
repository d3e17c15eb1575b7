#!/usr/bin/env bash
# Plays this case; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/acaciaproxy ] && [ -x ../../target/review/player ] || { echo "build first: the deploy file's build and review/build.sh"; exit 2; }
exec ../../target/review/player -program ../../target/acaciaproxy -record record.txt resume
