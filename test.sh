#!/usr/bin/env bash
# Runs the whole check: the linters, the build that a deployment runs, and all tests except those named in
# KNOWN-RED.txt, which are printed.
set -euo pipefail
cd "$(dirname "$0")"
bash ./lint.sh
eval "$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/service.toml)"
red=$(bash ./known-red.sh)
go test -race ${red:+-skip "$red"} ./...
