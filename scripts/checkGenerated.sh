#!/usr/bin/env bash
# Fails if the committed code in src/gen differs from the code generated from the schemas.
set -euo pipefail
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
npx buf generate --output "$out"
diff -r "$out/src/gen" src/gen
