#!/usr/bin/env bash
# The one test command: the linters, a build as a deployment does, and all tests but those that
# KNOWN-RED.txt names, which are told.
set -euo pipefail
cd "$(dirname "$0")"
bash ./lint.sh
eval "$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/service.toml)"
red=$(bash ./known-red.sh)
go test -race ${red:+-skip "$red"} ./...
