#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 to review/15 start. They are plain JavaScript for the Node of the
# project and need no step of their own, so they are only checked.
set -eu
cd "$(dirname "$0")/.."
for file in review/stand-ins-3/*.mjs review/1[1-5]/*.mjs; do
  if [ -e "$file" ]; then node --check "$file"; fi
done
