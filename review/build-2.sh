#!/bin/sh
# Builds the stand-ins of the second review's scripts, after the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
go test -c -o target/review-2 review/driver-2/*_test.go
