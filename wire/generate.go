// Package wire has the messages and RPCs between nodes. The Go code is generated
// from proto/wire.proto and is committed, so that a build needs no generator. Run
// wire/generate.sh after editing the file.
package wire
