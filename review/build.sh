#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They are plain modules that use only what Node 20 brings, and the scripts
# start none of the project's own stand-ins, so each is only checked.
set -euo pipefail
cd "$(dirname "$0")"
for file in stand-ins/*.mjs */run.mjs; do node --check "$file"; done
