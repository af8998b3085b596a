#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start. They are plain modules of Node without
# dependencies, so there is nothing to compile: this checks that each can be read.
set -e
cd "$(dirname "$0")"
for file in stand-ins-2/*.mjs [6-9]/*.mjs 10/*.mjs; do
  [ ! -e "$file" ] || node --check "$file"
done
