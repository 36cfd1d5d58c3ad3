package hclfile

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/hashicorp/hcl/v2"
	"github.com/zclconf/go-cty/cty/convert"
	"github.com/zclconf/go-cty/cty/gocty"
)

// The kinds of fields, as they follow the name in a tag.
const (
	kindRequired = ""
	kindOptional = "optional"
	kindBlock    = "block"
	kindLabel    = "label"
)

// decode does what gohcl's DecodeBody does, for the tags that this project uses.
// gohcl is not used because it also has an encoder, whose initialization takes
// 0.2 MB of memory in every process, even without a file.
func decode(body hcl.Body, into reflect.Value) hcl.Diagnostics {
	content, diags := body.Content(schemaOf(into.Type()))
	if content == nil {
		return diags
	}
	blocks := content.Blocks.ByType()
	forEachField(into.Type(), func(f field) {
		switch f.kind {
		case kindRequired, kindOptional:
			if a := content.Attributes[f.name]; a != nil {
				diags = append(diags, evaluate(a.Expr, into.Field(f.index))...)
			}
		case kindBlock:
			diags = append(diags, decodeBlocks(f.name, blocks[f.name], into.Field(f.index))...)
		}
	})
	return diags
}

// schemaOf returns the schema of the body that a struct is decoded from.
func schemaOf(structure reflect.Type) *hcl.BodySchema {
	schema := &hcl.BodySchema{}
	forEachField(structure, func(f field) {
		switch f.kind {
		case kindRequired, kindOptional:
			schema.Attributes = append(schema.Attributes, hcl.AttributeSchema{
				Name:     f.name,
				Required: f.kind == kindRequired,
			})
		case kindBlock:
			schema.Blocks = append(schema.Blocks, hcl.BlockHeaderSchema{
				Type:       f.name,
				LabelNames: labelsOf(structType(f.fieldType)),
			})
		case kindLabel:
		default:
			panic(fmt.Sprintf("%s: unknown kind %q in an hcl tag", structure, f.kind))
		}
	})
	return schema
}

func labelsOf(structure reflect.Type) (labels []string) {
	forEachField(structure, func(f field) {
		if f.kind == kindLabel {
			labels = append(labels, f.name)
		}
	})
	return labels
}

// decodeBlocks decodes all blocks of a type into a slice, or the only one into a pointer.
func decodeBlocks(name string, blocks []*hcl.Block, into reflect.Value) (diags hcl.Diagnostics) {
	if into.Kind() != reflect.Slice && len(blocks) > 1 {
		return duplicateBlock(name, blocks)
	}
	for _, b := range blocks {
		value := reflect.New(structType(into.Type()))
		diags = append(diags, decode(b.Body, value.Elem())...)
		setLabels(value.Elem(), b.Labels)
		switch {
		case into.Kind() == reflect.Pointer:
			into.Set(value)
		case into.Type().Elem().Kind() == reflect.Pointer:
			into.Set(reflect.Append(into, value))
		default:
			into.Set(reflect.Append(into, value.Elem()))
		}
	}
	return diags
}

func duplicateBlock(name string, blocks []*hcl.Block) hcl.Diagnostics {
	return hcl.Diagnostics{{
		Severity: hcl.DiagError,
		Summary:  fmt.Sprintf("Duplicate %s block", name),
		Detail: fmt.Sprintf("Only one %s block is allowed. Another was defined at %s.",
			name, blocks[0].DefRange),
		Subject: &blocks[1].DefRange,
	}}
}

// setLabels sets the label fields of a block, in the order in which the struct has them.
func setLabels(block reflect.Value, labels []string) {
	next := 0
	forEachField(block.Type(), func(f field) {
		if f.kind == kindLabel {
			block.Field(f.index).SetString(labels[next])
			next++
		}
	})
}

// evaluate sets a field to the value of a constant expression.
func evaluate(expression hcl.Expression, into reflect.Value) hcl.Diagnostics {
	value, diags := expression.Value(nil)
	wanted, err := gocty.ImpliedType(into.Addr().Interface())
	if err != nil {
		panic(fmt.Sprintf("%s can't be decoded from HCL: %v", into.Type(), err))
	}
	value, err = convert.Convert(value, wanted)
	if err == nil {
		err = gocty.FromCtyValue(value, into.Addr().Interface())
	}
	if err == nil {
		return diags
	}
	return append(diags, &hcl.Diagnostic{
		Severity: hcl.DiagError,
		Summary:  "Unsuitable value type",
		Detail:   fmt.Sprintf("Unsuitable value: %s", err),
		Subject:  expression.StartRange().Ptr(),
		Context:  expression.Range().Ptr(),
	})
}

// structType returns the struct type of a block field, which is a pointer to a struct, or a slice of structs or of
// pointers to them.
func structType(t reflect.Type) reflect.Type {
	for t.Kind() != reflect.Struct {
		t = t.Elem()
	}
	return t
}

// field is a struct field that has an hcl tag.
type field struct {
	index     int
	name      string
	kind      string
	fieldType reflect.Type
}

// forEachField calls visit for each field of a struct that has an hcl tag.
func forEachField(structure reflect.Type, visit func(field)) {
	for i := range structure.NumField() {
		structField := structure.Field(i)
		tag, ok := structField.Tag.Lookup("hcl")
		if !ok {
			continue
		}
		name, kind, _ := strings.Cut(tag, ",")
		visit(field{
			index:     i,
			name:      name,
			kind:      kind,
			fieldType: structField.Type,
		})
	}
}
