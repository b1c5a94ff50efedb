#!/usr/bin/env bash
# Generates the committed Go code from proto/wire.proto. Needs protoc (Debian
# package protobuf-compiler); the plugins are built at the versions in wire/go.mod.
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
