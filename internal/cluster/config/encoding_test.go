package config

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"reflect"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// A table has the same encoding whatever the order of its lists, and the encoding
// decodes to the sorted table.
func TestEncodingIsCanonical(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		a := tableGenerator().Draw(r, "table")
		raw, err := Encode(a)
		if err != nil {
			r.Fatal(err)
		}
		decoded, err := Decode(raw)
		if err != nil || !reflect.DeepEqual(a.Sorted(), decoded) {
			r.Fatalf("%s decoded to %+v with error %v, want the sorted table", raw, decoded, err)
		}
		b := *a
		b.Tenants, b.CordonedWorkers = rapid.Permutation(a.Tenants).Draw(r, "tenants"), rapid.Permutation(a.CordonedWorkers).Draw(r, "out")
		if again, err := Encode(&b); err != nil || Digest(again) != Digest(raw) {
			r.Fatalf("a table has the encodings %s and %s, error %v", raw, again, err)
		}
	})
}

// Decode rejects bytes that are not the canonical encoding of a table, and reports unknown keys instead of skipping
// them. Encode rejects tables without an encoding.
func TestNonCanonicalFormsAreRejected(t *testing.T) {
	for _, text := range []string{``, `null`, `{`, `{"version":1} `, `{"version":1}{}`, `{"Version":1}`, `{"version":1,"out":[]}`, `{"version":-1}`,
		`{"version":1,"out":["b","a"]}`, `{"version":1,"out":["a","a"]}`, `{"version":1,"out":[""]}`, `{"version":1,"out":["a\u0000"]}`,
		`{"version":1,"out":["` + strings.Repeat("a", MaxNameBytes+1) + `"]}`, `{"version":1,"attempts":3,"base":1}`, `{"version":1,"seats":[{"epoch":1,"name":"a"}]}`,
		`{"version":1,"tenants":[{"name":"a","weight":-0}]}`, `{"version":1,"tenants":[{"name":"a","weight":1.0}]}`, `{"version":1,"novel":`} {
		var malformed *MalformedError
		if _, err := Decode([]byte(text)); !errors.As(err, &malformed) {
			t.Errorf("decoding %s: got error %v, want a MalformedError", text, err)
		}
	}
	var unsupported *UnsupportedFormatError
	if _, err := Decode([]byte(`{"version":7,"tenants":[{"name":"a","shape":1}]}`)); !errors.As(err, &unsupported) || unsupported.Version != 7 {
		t.Errorf("decoding an unknown key: got error %v, want an UnsupportedFormatError of version 7", err)
	}
	for _, table := range []*Table{{ProposedBy: "\xff"}, {CordonedWorkers: make([]string, MaxCordonedWorkers+1)}, {ShardOwners: make([]ShardOwner, MaxShards+1)}, {Tenants: []Tenant{{"a", new(math.NaN()), nil}}},
		{Tenants: []Tenant{{Name: "a"}, {Name: "a"}}}, {Clusters: []Cluster{{"a", math.Inf(1)}}}} {
		if raw, err := Encode(table); err == nil {
			t.Errorf("a table without an encoding is encoded as %.100s", raw)
		}
	}
	large := &Table{}
	for range MaxShards {
		large.ShardOwners = append(large.ShardOwners, ShardOwner{strings.Repeat("a", MaxNameBytes), 1})
	}
	if raw, err := Encode(large); err == nil {
		t.Errorf("a table that is too large is encoded in %d bytes", len(raw))
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"version":3,"base":2,"by":"a","tenants":[{"name":"north","reservation":30,"weight":0.5}],"classes":[{"name":"job","effect":"keyed","scope":"all","window":8}],"out":["w"]}`))
	f.Add([]byte(`{"version":1,"instances":["a"],"voters":[{"name":"a","address":"127.0.0.1:1"}],"seats":[{"name":"a","epoch":1},{"epoch":2}]}`))
	f.Add([]byte(`{"version":1,"clusters":[{"name":"east","capacity":1e+21}],"placements":[{"service":"north","cluster":"east","release":true}],"list_epoch":1}`))
	f.Add([]byte(`{"version":1,"novel":{}}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		table, err := Decode(raw)
		if err != nil {
			var malformed *MalformedError
			var unsupported *UnsupportedFormatError
			if !errors.As(err, &malformed) && !errors.As(err, &unsupported) {
				t.Fatalf("got an error of type %T, want a MalformedError or an UnsupportedFormatError", err)
			}
			return
		}
		if again, err := Encode(table); err != nil || !bytes.Equal(raw, again) {
			t.Fatalf("%s is encoded again as %s, error %v", raw, again, err)
		}
	})
}

// BenchmarkLarge uses a table of 300 instances, 4,096 shards and 1,000 tenants, and
// a next version in which a third of the shards have another owner.
func BenchmarkLarge(b *testing.B) {
	old := &Table{Version: 1}
	for i := range 300 {
		old.ShardInstances = append(old.ShardInstances, fmt.Sprintf("instance-%03d", i))
	}
	for i := range 4096 {
		old.ShardOwners = append(old.ShardOwners, ShardOwner{old.ShardInstances[i%300], 1})
	}
	for i := range 1000 {
		old.Tenants = append(old.Tenants, Tenant{fmt.Sprintf("tenant-%04d", i), new(float64(i)), new(1.5)})
	}
	next := old.Sorted()
	next.Version, next.BaseVersion, next.ShardOwners = 2, 1, slices.Clone(old.ShardOwners)
	for i := 0; i < len(next.ShardOwners); i += 3 {
		next.ShardOwners[i] = ShardOwner{next.ShardInstances[(i+1)%300], 2}
	}
	raw, err := Encode(next)
	if err != nil || Validate(old, next) != nil {
		b.Fatal(err, Validate(old, next))
	}
	for name, operation := range map[string]func(){
		"encode": func() { Encode(next) }, "decode": func() { Decode(raw) }, "validate": func() { Validate(old, next) },
		"conflicts": func() { Conflicts(old, next) }, "intersection": func() { Intersection(old, next) }, "compatible": func() { Compatible(old, next) },
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				operation()
			}
			b.ReportMetric(float64(len(raw)), "bytes-encoded")
		})
	}
}
