#!/usr/bin/env bash
# Regenerates the committed Go code from proto/wire.proto. Needs protoc
# (Debian: protobuf-compiler); the plugins come from wire/go.mod.
set -euo pipefail
cd "$(dirname "$0")"
plugins=$(mktemp -d)
trap 'rm -rf "$plugins"' EXIT
go build -o "$plugins/protoc-gen-go" google.golang.org/protobuf/cmd/protoc-gen-go
go build -o "$plugins/protoc-gen-connect-go" connectrpc.com/connect/cmd/protoc-gen-connect-go
PATH="$plugins:$PATH" protoc -I proto \
  --go_out=. --go_opt=module=aspenyard.example/wire \
  --connect-go_out=. --connect-go_opt=module=aspenyard.example/wire \
  proto/wire.proto
gofmt -w ./*.pb.go wireconnect/*.go
