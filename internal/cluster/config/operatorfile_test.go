package config

import (
	"errors"
	"reflect"
	"strings"
	"testing"

	"example.org/bellstream/internal/hclfile"
)

func proposal(t *testing.T, text string) *Proposal {
	t.Helper()
	var f struct {
		Rules *Block `hcl:"rules,block"`
	}
	lines, err := hclfile.Decode("f.hcl", []byte(text), &f)
	if err != nil {
		t.Fatal(err)
	}
	return f.Rules.Proposal(lines)
}

const sampleFile = `rules {
 based_on = 7
 attempts = 3
 out = ["w1"]
 instances = ["b", "a"]
 tenant "south" { reservation = 10 }
 tenant "north" {
  reservation = 30
  weight = 1
 }
 class "job" {
  aim = "1s"
  effect = "keyed"
  scope = "zone"
  window = "8s"
 }
 cluster "east" { capacity = 50 }
 cluster "west" { capacity = 40 }
 placement "north" { cluster = "east" }
}`

// The table of a file has the shard owners of the newest version. The same file on
// top of that table changes nothing.
func TestProposal(t *testing.T) {
	base := sampleTable()
	base.MaxAttempts, base.Tenants[0].Weight = 2, nil
	got, err := proposal(t, sampleFile).TableOn([]*Table{base}, "b")
	want := sampleTable()
	want.Version, want.BaseVersion, want.ProposedBy = 8, 7, "b"
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Fatalf("table:\ngot  %+v, error %v\nwant %+v", got, err, want)
	}
	if again, err := proposal(t, sampleFile).TableOn([]*Table{base, got}, "a"); err != nil || again != got {
		t.Errorf("the same file again: got %+v with error %v, want the newest table itself", again, err)
	}
}

// A proposal on an old version fails with the changes since then. A version that only
// changes the owner of a shard does not outdate a proposal.
func TestOutdatedProposal(t *testing.T) {
	v7, v8, v9, v10 := sampleTable(), sampleTable(), sampleTable(), sampleTable()
	v8.Version, v8.ProposedBy, v8.ShardOwners[1] = 8, "a", ShardOwner{"a", 5}
	v9.Version, v9.ProposedBy, v9.ShardOwners, v9.MaxAttempts, v9.Tenants[0].Weight = 9, "c", v8.ShardOwners, 2, new(4.0)
	v10.Version, v10.ProposedBy, v10.ShardOwners, v10.MaxAttempts = 10, "b", v8.ShardOwners, 5
	p := proposal(t, strings.Replace(sampleFile, "w1", "w2", 1))
	got, err := p.TableOn([]*Table{v7, v8}, "a")
	if err != nil || got.BaseVersion != 8 || got.Version != 9 || got.ShardOwners[1] != v8.ShardOwners[1] || got.CordonedWorkers[0] != "w2" {
		t.Errorf("after a version that only moved a shard: got %+v with error %v, want a table based on it", got, err)
	}
	for want, history := range map[string][]*Table{
		`based on version 7, the newest is 10; version 9 by "c" changed attempts, tenant "north".weight; version 10 by "b" changed attempts, ` +
			`tenant "north".weight: include the changes in the file, set rules.based_on = 10 and send SIGHUP`: {v7, v8, v9, v10},
		`the newest is 10; who changed what up to version 9 is no longer known; version 10 by "b" changed`: {v9, v10},
		`the newest is 10; who changed what up to version 10 is no longer known: include the changes`:      {v10},
		`the newest is 6, as far as this instance knows: wait`:                                             {{Version: 6}},
	} {
		_, err := p.TableOn(history, "a")
		var outdated *OutdatedError
		if !errors.As(err, &outdated) || !strings.Contains(err.Error(), want) {
			t.Errorf("error:\ngot  %v\nwant %s in it", err, want)
		}
	}
}

// Every error has its file, line and key, and all errors of a file are reported together.
func TestValidationErrors(t *testing.T) {
	base := sampleTable()
	for _, c := range []struct{ old, new, want string }{
		{"attempts = 3", "attempts = 0", `f.hcl:3: rules.attempts: 0 is not from 1`},
		{"attempts = 3", "attempts = -1", `f.hcl:3: rules.attempts: -1 is not from 1`},
		{"attempts = 3", "list_epoch = 0\nattempts = 101", `f.hcl:4: rules.attempts: 101`},
		{`["w1"]`, `["w1", "", "w1"]`, "f.hcl:4: rules.out: a name is empty\nf.hcl:4: rules.out: \"w1\" is named twice"},
		{`["b", "a"]`, `["b"]`, `f.hcl:5: rules.instances: "a" is not listed but owns 1 shards, the first is 0`},
		{`tenant "south"`, `tenant "north"`, `f.hcl:7: rules.tenant "north": "north" is named twice`},
		{`tenant "south"`, "tenant \"\"", `f.hcl:6: rules.tenant "": a name is empty`},
		{"weight = 1", "weight = 0", `f.hcl:9: rules.tenant "north".weight: 0 is not above 0`},
		{"weight = 1", "weight = -1", `f.hcl:9: rules.tenant "north".weight: -1 is not above 0`},
		{"reservation = 10", "reservation = 2e9", `f.hcl:6: rules.tenant "south".reservation: 2e+09 is not from 0 up to 1e+09`},
		{"reservation = 30", "reservation = 50.5", `f.hcl:17: rules.cluster "east".capacity: 50 is 0.5 less than the reservations placed there (north 50.5)`},
		{"reservation = 30\n", "", `f.hcl:18: rules.placement "north": tenant "north" has no reservation`},
		{`"1s"`, `"soon"`, `f.hcl:12: rules.class "job".aim: "soon" is no duration`},
		{`"1s"`, `"-1s"`, `f.hcl:12: rules.class "job".aim: -1 is not from 0`},
		{`aim = "1s"`, `deadline = "0s"`, `f.hcl:12: rules.class "job".deadline: 0 is not above 0`},
		{`aim = "1s"`, `late_worth = 1.5`, `f.hcl:12: rules.class "job".late_worth: 1.5 is not from 0 up to 1`},
		{`aim = "1s"`, "worth = 0", `f.hcl:12: rules.class "job".worth: 0 is not above 0`},
		{`aim = "1s"`, "stretch = -2", `f.hcl:12: rules.class "job".stretch: -2`},
		{`"keyed"`, `"mostly"`, `f.hcl:13: rules.class "job".effect: "mostly" is none of safe, keyed, unsafe`},
		{`"keyed"`, `"safe"`, "f.hcl:14: rules.class \"job\".scope: is only for effect = \"keyed\": leave it out, or set that\nf.hcl:15: rules.class \"job\".window: is only for"},
		{`scope = "zone"`, "", `f.hcl:11: rules.class "job".scope: "" is none of all, zone, cell`},
		{`window = "8s"`, "", `f.hcl:11: rules.class "job".window: a keyed class needs`},
		{`window = "8s"`, `window = "-8s"`, `f.hcl:15: rules.class "job".window: -8 is not`},
		{`placement "north" { cluster = "east" }`, `placement "north" { cluster = "eest" }`, `f.hcl:19: rules.placement "north".cluster: there is no cluster "eest"`},
		{`placement "north" {`, `placement "nobody" {`, `f.hcl:19: rules.placement "nobody": tenant "nobody" has no reservation`},
		{`cluster "west" { capacity = 40 }`, `cluster "west" { capacity = -1 }`, `f.hcl:18: rules.cluster "west".capacity: -1 is not from 0`},
		{`cluster "west"`, "list_epoch = 1\n" + `cluster "east"`, `f.hcl:19: rules.cluster "east": "east" is named twice`},
		{`cluster "west" { capacity = 40 }`, `voter "d" { address = "127.0.0.1:9" }`,
			"f.hcl:1: rules.voter: 1 voters, must be 3 to 7\nf.hcl:1: rules.voter: \"a\", \"b\", \"c\", \"d\" change at a time"},
		{`cluster "west" { capacity = 40 }`, "voter \"a\" {\naddress = \"n1:1\"\n}\nvoter \"b\" {\naddress = \"127.0.0.1:3\"\n}\nvoter \"c\" { address = \"127.0.0.1:3\" }",
			"f.hcl:19: rules.voter \"a\".address: \"n1:1\" is not an IP address and a port; names are not looked up\n" +
				"f.hcl:24: rules.voter \"c\".address: \"127.0.0.1:3\" is already the address of \"b\"\nf.hcl:1: rules.voter: \"a\", \"b\" change at a time"},
	} {
		next := strings.Replace(sampleFile, c.old, c.new, 1)
		if next == sampleFile {
			t.Fatalf("the sample file does not have %s", c.old)
		}
		_, err := proposal(t, next).TableOn([]*Table{base}, "a")
		var all ValidationErrors
		var first ValidationError
		if !errors.As(err, &all) || !errors.As(err, &first) || first != all[0] || !strings.HasPrefix(err.Error(), c.want) ||
			strings.Count(err.Error(), "\n") != strings.Count(c.want, "\n") {
			t.Errorf("with %s:\ngot  %v\nwant %s", c.new, err, c.want)
		}
	}
	if err := proposal(t, sampleFile).Validate(); err != nil {
		t.Error(err)
	}
	if err := proposal(t, "rules {\n based_on = 3\n list_epoch = 4\n voter \"a\" { address = \"127.0.0.1:1\" }\n}").Validate(); err == nil {
		t.Error("a file with one voter is valid, want an error")
	}
}
