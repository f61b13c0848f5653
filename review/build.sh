#!/bin/sh
# Builds the scripts of the cases, with all stand-ins that they use, into target/review. Run it after the build of
# deploy/service.toml. It needs no network: esbuild and the MessagePack codec are the project's own dependencies.
set -e
cd "$(dirname "$0")/.."
for folder in review/[0-9]; do
  number=$(basename "$folder")
  node_modules/.bin/esbuild "$folder/case.mjs" --bundle --platform=node --format=esm --target=node20 \
    --log-level=warning --outfile="target/review/$number.mjs"
done
