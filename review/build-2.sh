#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 to 10 start. They are plain modules of Node 20 without dependencies, so
# that nothing but their syntax has to be checked.
cd "$(dirname "$0")" || exit 2
for file in lib-2/*.mjs {6,7,8,9,10}/*.mjs; do
    [ -f "$file" ] || continue
    node --check "$file" || exit 1
done
echo "the stand-ins of cases 6 to 10 need no build"
