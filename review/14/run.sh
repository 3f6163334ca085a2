#!/usr/bin/env bash
# Plays the case of claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
exec target/node --disable-warning=ExperimentalWarning review/14/run.ts
