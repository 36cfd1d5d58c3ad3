// Command protogen compiles one .proto file and writes the Go code that protoc-gen-go
// generates next to it. It uses Go modules only, so protoc need not be installed.
//
//	go run example.org/bellstream/internal/tools/protogen [--check] FILE.proto
//
// With --check it writes nothing and fails if the committed code differs.
package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/bufbuild/protocompile"
	"github.com/bufbuild/protocompile/protoutil"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/pluginpb"
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "protogen:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	check := len(args) > 0 && args[0] == "--check"
	if check {
		args = args[1:]
	}
	if len(args) != 1 {
		return fmt.Errorf("usage: protogen [--check] FILE.proto")
	}
	dir, file := filepath.Split(args[0])
	c := protocompile.Compiler{Resolver: &protocompile.SourceResolver{ImportPaths: []string{dir}},
		SourceInfoMode: protocompile.SourceInfoStandard}
	files, err := c.Compile(context.Background(), file)
	if err != nil {
		return err
	}
	req := &pluginpb.CodeGeneratorRequest{FileToGenerate: []string{file}, Parameter: proto.String("paths=source_relative"),
		ProtoFile: []*descriptorpb.FileDescriptorProto{protoutil.ProtoFromFileDescriptor(files[0])}}
	raw, err := proto.Marshal(req)
	if err != nil {
		return err
	}
	gen := exec.Command("go", "run", "google.golang.org/protobuf/cmd/protoc-gen-go")
	gen.Stdin, gen.Stderr = bytes.NewReader(raw), os.Stderr
	out, err := gen.Output()
	if err != nil {
		return fmt.Errorf("protoc-gen-go: %w", err)
	}
	var resp pluginpb.CodeGeneratorResponse
	if err := proto.Unmarshal(out, &resp); err != nil {
		return err
	}
	if e := resp.GetError(); e != "" {
		return fmt.Errorf("protoc-gen-go: %s", e)
	}
	for _, f := range resp.File {
		path := filepath.Join(dir, f.GetName())
		// The generated comment names the version of protoc, which is unknown here.
		code := strings.ReplaceAll(f.GetContent(), "(unknown)", "protocompile")
		if check {
			if committed, err := os.ReadFile(path); err != nil || string(committed) != code {
				return fmt.Errorf("%s is not the code generated from %s: run go generate ./...", path, file)
			}
			continue
		}
		if err := os.WriteFile(path, []byte(code), 0o644); err != nil {
			return err
		}
	}
	return nil
}
