#!/usr/bin/env bash
# Builds what the scripts start besides the programs of the deploy file: nothing, the stand-ins are plain JavaScript of
# this folder. Fails if one of them cannot be parsed or a program has not been built.
cd "$(dirname "$0")" || exit 1
for file in lib/*.js [1-9]/*.js; do
    node --check "$file" || exit 1
done
for program in entry slot; do
    [ -f "../target/$program.mjs" ] || { echo "target/$program.mjs is missing: run the build of the deploy file first"; exit 1; }
done
