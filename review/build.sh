#!/usr/bin/env bash
# Builds the stand-ins and the scripts' programs, offline, from what `npm ci`
# has installed. The result lies in review/target.
set -euo pipefail
cd "$(dirname "$0")/.."
for case in review/[1-5]/case.ts; do
  number=$(basename "$(dirname "$case")")
  node_modules/.bin/esbuild "$case" --bundle --platform=node --format=esm \
    --target=node20 --log-level=warning \
    --outfile="review/target/case-$number.mjs"
done
