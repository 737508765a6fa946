#!/bin/sh
# Builds what the scripts of review/4 to review/8 start beside the program of the deploy file. It needs no network
# once the libraries of go.mod are there. Run it after the deploy file's build, from any directory.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -buildvcs=false -o target/review-stage ./review/_stage
