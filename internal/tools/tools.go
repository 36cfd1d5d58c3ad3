//go:build tools

// Package tools imports the commands that generate code, so that go.mod records
// their versions.
package tools

import _ "google.golang.org/protobuf/cmd/protoc-gen-go"
