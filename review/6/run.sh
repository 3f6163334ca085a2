#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 plays no disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/node ] && [ -f target/hyssoppulley.cjs ] || exit 2
exec target/node review/6/case.ts
