#!/usr/bin/env bash
# The stand-ins are plain JavaScript without packages, so there is nothing to compile: only their syntax is checked.
set -euo pipefail
cd "$(dirname "$0")"
for file in stand-ins/*.mjs [1-5]/*.mjs; do
  node --check "$file"
done
