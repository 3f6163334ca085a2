#!/usr/bin/env bash
# Builds what the scripts of review/11 and later start beside the build of the deploy file. The stand-ins are TypeScript
# files that the pinned Node runs as they are, so there is nothing to compile; this checks that it can load them.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/lib-3/*.ts; do
  target/node --disable-warning=ExperimentalWarning --input-type=module --eval "await import('./$file')"
done
