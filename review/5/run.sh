#!/usr/bin/env bash
# Plays the case; exits with 1 if a rule was broken, 0 if not, 2 if it couldn't
# run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -f review/target/case-5.mjs ] || exit 2
exec node review/target/case-5.mjs
