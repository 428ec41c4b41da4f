#!/usr/bin/env bash
# Writes docs/SETTINGS.md from the schemas of the settings; with --check it only
# compares the page with them.
set -euo pipefail
cd "$(dirname "$0")/.."
page() {
  cat <<'TEXT'
# Settings

A JSON file, given to `serve --settings`. Unknown fields are errors.
`dotterelstream check --settings FILE` validates it without side effects. This
page is generated from the schema by `Meta/settings-page.sh`.

TEXT
  build/dotterelstream check --list-settings
  cat <<'TEXT'

## A relaying instance

Given to `relay --settings`, or named by `DOTTERELSTREAM_SETTINGS`. The platform
fills in `deploy/settings.json`; fields that are not listed are ignored, as the
platform may add some. `dotterelstream check --relay-settings FILE` validates
it. At SIGHUP `logLevel` is applied; all else is applied at the next start.

TEXT
  build/dotterelstream check --list-relay-settings
}
if [ "${1:-}" = --check ]; then
  diff <(page) docs/SETTINGS.md
else
  page >docs/SETTINGS.md
fi
