#!/usr/bin/env bash
# Builds what the scripts of review/4 to review/8 start beside the program: their stand-ins are plain JavaScript, so this only
# checks that each can be read and that the library that they use is installed. Run it after the build of deploy/service.toml.
set -e
cd "$(dirname "$0")"
for file in stand-ins-2/*.mjs [4-8]/*.mjs; do node --check "$file"; done
node --input-type=module -e "await import('@msgpack/msgpack')"
test -f ../target/archpost.mjs || { echo 'the program is not built' >&2; exit 1; }
echo 'the stand-ins of review/4 to review/8 are ready'
