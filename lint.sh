#!/usr/bin/env bash
# Formatting, go vet and staticcheck with all its checks, style among them; no file is exempt. A line
# that has to be says why: //lint:ignore CHECK REASON.
set -euo pipefail
cd "$(dirname "$0")"
unformatted=$(gofmt -l cmd internal)
if [ -n "$unformatted" ]; then
  printf 'not formatted (gofmt -w FILE):\n%s\n' "$unformatted" >&2
  exit 1
fi
go vet ./...
go tool staticcheck -checks all ./...
