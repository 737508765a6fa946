#!/usr/bin/env bash
# Checks formatting and runs go vet and staticcheck with all checks, including style; no file is exempt. A
# line that needs an exemption states the reason: //lint:ignore CHECK REASON.
set -euo pipefail
cd "$(dirname "$0")"
unformatted=$(gofmt -l cmd internal)
if [ -n "$unformatted" ]; then
  printf 'not formatted (gofmt -w FILE):\n%s\n' "$unformatted" >&2
  exit 1
fi
go vet ./...
go tool staticcheck -checks all ./...
