#!/usr/bin/env bash
# Checks that everything the scripts start can be loaded. target/node runs the TypeScript sources of the stand-ins, the
# project's own too, without a build step; the project's programs come from the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
test -x target/node
test -f target/hyssoppulley.cjs
target/node --input-type=module --eval 'await import("./review/lib/playCase.ts")'
for file in review/lib/standInEngine.ts review/[1-5]/*.ts; do
  target/node --check "$file"
done
echo 'the cases are ready'
