package config

import (
	"bytes"
	"errors"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"example.org/bellstream/balance"
)

var update = flag.Bool("update", false, "rewrite the files under testdata/golden")

// fullTable returns a table with every field set to a different value.
func fullTable() *Table {
	return &Table{
		Version:     17,
		BaseVersion: 16,
		ProposedBy:  "instance-a",
		Tenants: []Tenant{
			{Name: "north", Reservation: new(12.5), Weight: new(2.25)},
			{Name: "south", Reservation: new(0.0)},
		},
		Classes: []Class{
			{Name: "job", LatencyObjective: new(1.5), ObjectiveStretch: new(3.5), Deadline: new(60.0), PriorityWeight: new(4.0), LateWeightFraction: new(0.25),
				Idempotence: balance.IdempotentWithKey, DedupScope: balance.ScopeZone, DedupWindow: 45},
			{Name: "read", Idempotence: balance.Idempotent},
			{Name: "write", Idempotence: balance.NonIdempotent},
		},
		MaxAttempts:     5,
		CordonedWorkers: []string{"worker-1", "worker-2"},
		ShardInstances:  []string{"instance-a", "instance-b"},
		Voters: []Voter{
			{Name: "voter-a", Address: "10.0.0.1:7000"},
			{Name: "voter-b", Address: "10.0.0.2:7001"},
			{Name: "voter-c", Address: "10.0.0.3:7002"},
		},
		ShardOwners: []ShardOwner{{Name: "instance-b", Epoch: 7}, {Name: "", Epoch: 8}},
		Clusters: []Cluster{
			{Name: "east", Capacity: 100.5},
			{Name: "west", Capacity: 200},
		},
		Placements: []Placement{
			{Service: "north", Cluster: "west", ForceRelease: true, Origin: "east"},
			{Service: "south"},
		},
		CapacityLedger:    []byte{0, 1, 0xfe, 0xff},
		LedgerEntries:     []LedgerEntry{{Service: "north", Usable: 6.5, Issued: 9}, {Service: "south", Usable: 11}},
		EndpointListEpoch: 19,
		Strict:            true,
	}
}

// TestGoldenTable checks that the encoding of a table and its digest, which instances compare, stay the same.
func TestGoldenTable(t *testing.T) {
	for name, c := range map[string]struct {
		table  *Table
		digest uint64
	}{
		"full":  {fullTable(), 0x74f2dd4e17ba857e},
		"empty": {&Table{}, 0xc7c5e0f3f72fc59d},
	} {
		encoded, err := Encode(c.table)
		if err != nil {
			t.Fatal(err)
		}
		path := filepath.Join("testdata", "golden", name+".json")
		if *update {
			if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(path, encoded, 0o644); err != nil {
				t.Fatal(err)
			}
		}
		raw, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(raw, encoded) {
			t.Errorf("%s is encoded as\n%s\nwant the content of the file,\n%s", name, encoded, raw)
		}
		if got, err := Decode(raw); err != nil || !reflect.DeepEqual(got, c.table) {
			t.Errorf("%s is decoded as %+v with error %v, want the table of the test", name, got, err)
		}
		if got := Digest(raw); got != c.digest {
			t.Errorf("%s has the digest %#x, want that of the test", name, got)
		}
	}
	// Every field must be set, as the golden file does not cover the encoding of an omitted one.
	full := reflect.ValueOf(*fullTable())
	for i := range full.NumField() {
		if full.Field(i).IsZero() {
			t.Errorf("field %s of the full table is not set", full.Type().Field(i).Name)
		}
	}
	// A key of a newer build is reported as an unsupported format.
	newer := []byte(`{"version":17,"added":1}`)
	if _, err := Decode(newer); !errors.As(err, new(*UnsupportedFormatError)) {
		t.Errorf("decoding an unknown key: got error %v, want an UnsupportedFormatError", err)
	}
}
