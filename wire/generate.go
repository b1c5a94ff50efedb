// Package wire holds the messages and RPCs between the project's own
// processes. The Go code is generated from proto/wire.proto and committed, so
// that a build needs no generator; run wire/generate.sh after an edit.
package wire
