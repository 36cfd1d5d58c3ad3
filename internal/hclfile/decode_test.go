package hclfile

import (
	"reflect"
	"strings"
	"testing"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/gohcl"
	"github.com/hashicorp/hcl/v2/hclsyntax"
)

type inner struct {
	Name string             `hcl:"name,label"`
	Kind string             `hcl:"kind,label"`
	Part float64            `hcl:"part,optional"`
	Map  map[string]float64 `hcl:"map,optional"`
}

type outer struct {
	Text    string   `hcl:"text"`
	Number  int      `hcl:"number,optional"`
	Large   uint64   `hcl:"large,optional"`
	Yes     *bool    `hcl:"yes,optional"`
	Some    *float64 `hcl:"some,optional"`
	List    []string `hcl:"list,optional"`
	One     *inner   `hcl:"one,block"`
	Many    []inner  `hcl:"many,block"`
	Several []*inner `hcl:"several,block"`
	Beside  int
}

// decode returns the same values and errors as gohcl for the same file.
func TestDecodesAsGohcl(t *testing.T) {
	const allKinds = `
text = "a"
number = 3
large = 18446744073709551615
yes = false
some = 0.25
list = ["x", "y"]
one "n" "k" {
  part = 0.5
  map = { a = 1, b = 2.5 }
}
many "n" "1" {}
many "n" "2" { part = 2 }
several "m" "1" { part = 1 }
several "m" "2" {}
`
	for _, text := range []string{allKinds, `text = "a"`, "", `number = 3`, `text = 5`, `text = ["a"]`, `text = null`,
		"text = \"a\"\nnumber = 1.5", "text = \"a\"\nnumber = \"7\"", "text = \"a\"\nnumber = \"seven\"", "text = \"a\"\nlarge = -1", "text = \"a\"\nyes = 1",
		"text = \"a\"\nlist = \"x\"", "text = \"a\"\nlist = [1, \"x\"]", "text = \"a\"\nlist = [1, {}]", "text = \"a\"\nnone = 1", "text = \"a\"\nnone {}",
		"text = name", "text = \"a${1}\"", "text = upper(\"a\")", "text = \"a\"\nmany \"n\" {}", "text = \"a\"\nmany \"n\" \"k\" \"x\" {}",
		"text = \"a\"\none \"n\" \"k\" {}\none \"n\" \"k\" {}", "text = \"a\"\nmany \"n\" \"k\" { part = \"x\" }", "text = \"a\"\none \"n\" \"k\" { none = 1 }",
		"text = \"a\"\none \"n\" \"k\" { map = { a = \"x\" } }", "text = \"a\"\none = 1", "text {}", "text = \"a\"\nsome = null", "text = \"a\"\nBeside = 1"} {
		parsed, diags := hclsyntax.ParseConfig([]byte(text), "f.hcl", hcl.InitialPos)
		if diags.HasErrors() {
			t.Fatalf("%q: %v", text, diags)
		}
		var got, want outer
		gotDiags, wantDiags := decode(parsed.Body, reflect.ValueOf(&got).Elem()), gohcl.DecodeBody(parsed.Body, nil, &want)
		if gotDiags.HasErrors() != wantDiags.HasErrors() || gotDiags.HasErrors() && diagnosticsError(gotDiags).Error() != diagnosticsError(wantDiags).Error() {
			t.Errorf("%q: got diagnostics %v, gohcl returns %v", text, gotDiags, wantDiags)
		}
		if !wantDiags.HasErrors() && !reflect.DeepEqual(got, want) {
			t.Errorf("%q: got %+v, gohcl decodes %+v", text, got, want)
		}
	}
}

// All errors in a file are reported, each with its line.
func TestReportsAllErrors(t *testing.T) {
	var decoded outer
	_, err := Decode("f.hcl", []byte("number = \"x\"\none \"n\" \"k\" {\n  part = \"y\"\n}\nmany \"a\" \"b\" {\n  none = 1\n}\n"), &decoded)
	if err == nil {
		t.Fatal("a file with errors was accepted")
	}
	for _, want := range []string{"f.hcl:1: Missing required argument", "f.hcl:1: Unsuitable value type", "f.hcl:3: Unsuitable value type", "f.hcl:6: Unsupported argument"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("%q is missing in the error:\n%v", want, err)
		}
	}
}
