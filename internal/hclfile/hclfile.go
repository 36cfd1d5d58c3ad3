// Package hclfile decodes settings that are written in HCL. Errors name the file,
// the line and the key.
package hclfile

import (
	"errors"
	"fmt"
	"reflect"
	"strings"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
)

// Text is a parsed file. It is used to look up the lines of keys.
type Text struct {
	path string
	body *hclsyntax.Body
}

// Decode decodes the text of a file into a struct, passed as a pointer, that has
// gohcl's tags: `hcl:"name"`, where optional, block or label may follow the name.
// All errors are joined, one per line.
func Decode(path string, raw []byte, into any) (*Text, error) {
	parsed, diags := hclsyntax.ParseConfig(raw, path, hcl.InitialPos)
	if diags.HasErrors() {
		return nil, diagnosticsError(diags)
	}
	if diags := decode(parsed.Body, reflect.ValueOf(into).Elem()); diags.HasErrors() {
		return nil, diagnosticsError(diags)
	}
	text := &Text{
		path: path,
		body: parsed.Body.(*hclsyntax.Body),
	}
	return text, nil
}

// diagnosticsError joins diagnostics into one error, with a line "file:line: summary: detail" for each.
func diagnosticsError(diags hcl.Diagnostics) error {
	var errs []error
	for _, d := range diags {
		location := ""
		if d.Subject != nil {
			location = fmt.Sprintf("%s:%d: ", d.Subject.Filename, d.Subject.Start.Line)
		}
		summary := strings.TrimSuffix(d.Summary, ".")
		detail := strings.ReplaceAll(d.Detail, "\n", " ")
		errs = append(errs, fmt.Errorf("%s%s: %s", location, summary, detail))
	}
	return errors.Join(errs...)
}

// ErrorAt adds the location of a key to an error: file, line and block.key. The key
// is in the nth block of a type, from 0; an empty block means the top level of the
// file. If the block lacks the key, the line is that of the block.
func (t *Text) ErrorAt(block string, nth int, key string, err error) error {
	name := key
	if block != "" {
		name = strings.TrimSuffix(block+"."+key, ".")
	}
	return fmt.Errorf("%s:%d: %s: %w", t.path, t.line(block, nth, key), name, err)
}

// line returns the line of a key, or that of its block if it lacks the key, or 1 if there is no such block.
func (t *Text) line(block string, nth int, key string) int {
	line := 1
	body := t.body
	if block != "" {
		found := t.findBlock(block, nth)
		if found == nil {
			return line
		}
		line = found.TypeRange.Start.Line
		body = found.Body
	}
	if attribute := body.Attributes[key]; attribute != nil {
		line = attribute.SrcRange.Start.Line
	}
	return line
}

// findBlock returns the nth block of a type, from 0, or nil.
func (t *Text) findBlock(blockType string, nth int) *hclsyntax.Block {
	for _, b := range t.body.Blocks {
		if b.Type != blockType {
			continue
		}
		if nth == 0 {
			return b
		}
		nth--
	}
	return nil
}

// Lines returns the file and the lines of all keys in a block that occurs at most
// once. A nested block is listed as `type "label"` and its keys as `type "label".key`;
// if several nested blocks have the same label, the last one counts. The line of the
// block itself is listed under the empty key.
func (t *Text) Lines(block string) (file string, lines map[string]int) {
	lines = map[string]int{}
	for _, b := range t.body.Blocks {
		if b.Type != block {
			continue
		}
		lines[""] = b.TypeRange.Start.Line
		addLines(lines, "", b.Body)
		for _, nested := range b.Body.Blocks {
			name := fmt.Sprintf("%s %q", nested.Type, strings.Join(nested.Labels, " "))
			lines[name] = nested.TypeRange.Start.Line
			addLines(lines, name, nested.Body)
		}
	}
	return t.path, lines
}

// addLines adds the lines of the keys of a body, prefixed with "prefix.". It does not add nested blocks.
func addLines(lines map[string]int, prefix string, body *hclsyntax.Body) {
	for key, attribute := range body.Attributes {
		lines[strings.TrimPrefix(prefix+"."+key, ".")] = attribute.SrcRange.Start.Line
	}
}
