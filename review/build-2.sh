#!/bin/sh
# Builds the stand-ins of the cases from 6 on: they are plain programs, so they are only checked.
cd "$(dirname "$0")" || exit 1
for file in stand-ins-2/*.mjs 6/*.mjs 7/*.mjs 8/*.mjs 9/*.mjs 10/*.mjs; do
  [ -e "$file" ] || continue
  node --check "$file" || exit 1
done
