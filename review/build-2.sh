#!/usr/bin/env bash
# Checks that everything the scripts of cases 6 to 10 start can be loaded. target/node runs the TypeScript sources of the
# stand-ins without a build step; the project's programs come from the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
test -x target/node
test -f target/hyssoppulley.cjs
target/node --input-type=module --eval 'await import("./review/lib-2/playCase.ts"); await import("./review/lib-2/deployment.ts"); await import("./review/lib-2/worker.ts"); await import("./review/lib-2/tables.ts"); await import("./review/lib-2/calls.ts")'
for number in 6 7 8 9 10; do
  for file in "review/$number"/*.ts; do
    if [ -f "$file" ]; then target/node --check "$file"; fi
  done
done
echo 'the cases are ready'
