#!/usr/bin/env bash
# Builds the stand-ins and the driver of all cases, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go test -c -o target/review-driver review/driver/*_test.go
