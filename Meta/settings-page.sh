#!/usr/bin/env bash
# Writes docs/SETTINGS.md from the schema; --check only compares.
set -euo pipefail
cd "$(dirname "$0")/.."
page() {
  cat <<'TEXT'
# Settings

A JSON file, given to `serve --settings`. Unknown fields are errors.
`dotterelstream check --settings FILE` validates it without side effects. This
page is written from the schema by `Meta/settings-page.sh`.

TEXT
  build/dotterelstream check --list-settings
}
if [ "${1:-}" = --check ]; then
  diff <(page) docs/SETTINGS.md
else
  page >docs/SETTINGS.md
fi
