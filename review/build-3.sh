#!/usr/bin/env bash
# Builds what the scripts of this review start besides the programs of the deploy file. The stand-ins are plain JavaScript
# of review/lib-3 and need no build; this checks that they and the programs are there.
set -euo pipefail
cd "$(dirname "$0")/.."
test -f target/entry.mjs
test -f target/slot.mjs
for file in review/lib-3/*.js review/1[1-5]/*.js; do
    node --check "$file"
done
