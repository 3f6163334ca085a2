#!/usr/bin/env bash
# Fails when the committed code in src/gen differs from what the schemas generate.
set -euo pipefail
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
npx buf generate --output "$out"
diff -r "$out/src/gen" src/gen
