//go:build tools

// Package tools names the commands that generated code needs, so that go.mod
// keeps their versions.
package tools

import _ "google.golang.org/protobuf/cmd/protoc-gen-go"
