#!/usr/bin/env bash
# The one test command: vet, build as a deployment does, and all tests.
set -euo pipefail
cd "$(dirname "$0")"
go vet ./...
eval "$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/service.toml)"
go test -race ./...
