package main

import (
	"errors"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"example.org/bellstream/internal/cluster/config"
	"example.org/bellstream/internal/cluster/consensus"
	"example.org/bellstream/internal/cluster/lease"
	"example.org/bellstream/internal/cluster/lease/agent"
	"example.org/bellstream/internal/cluster/migration"
	"example.org/bellstream/internal/cluster/shard"
	"example.org/bellstream/internal/operatorconfig"
)

const root = "../../"

var errSample = errors.New("why")

// sampleErrors has values of each error type of the packages of the cluster agreement, by package.
var sampleErrors = map[string][]error{
	"internal/cluster/config": {config.ValidationError{Key: `tenant "a".reservation`, Message: "why"}, config.ValidationErrors{{Key: "based_on", Message: "why"}},
		&config.OutdatedError{Base: 3, Newest: 5, UnknownUpTo: 4, Changes: []config.VersionChange{{Version: 5, ProposedBy: "n1", Keys: []string{"out"}}}},
		&config.MalformedError{Err: errSample}, &config.UnsupportedFormatError{Version: 4, Err: errSample}},
	"internal/cluster/lease": {&lease.InvalidSettingError{Key: "accord.period", Reason: "why"}, &lease.ExpiredError{}, &lease.ExpiredError{ExpiredSeconds: 3},
		&lease.StaleProposalError{Base: 3, Newest: 4, Changes: []lease.Change{{Version: 4, Proposer: "n1", Keys: []string{"out"}}}}, &lease.ProposalInProgressError{Proposer: "n1"},
		&lease.ClusterMismatchError{Local: "a", Remote: "b"}, &lease.StateLostError{}, &lease.NotLeaderError{}, &lease.NotReadyError{Reason: "no rules have been proposed: add them to an operator's file and send SIGHUP"},
		&lease.TooManyHoldersError{}, &lease.StaleEntryError{Entry: "the lease"}, &lease.CorruptMessageError{Subject: "an entry", Reason: "why"}, &lease.UnsupportedFormatError{Subject: "an entry"},
		&lease.DroppedGrantError{Reason: lease.NotOutstanding}, &lease.DroppedGrantError{Reason: lease.StaleRevision, Cause: &lease.StateLostError{}}},
	"internal/cluster/lease/agent": {&agent.CorruptFileError{Path: "/x", Err: errSample}, &agent.RejectedError{Reason: (&lease.NotLeaderError{}).Error()}},
	"internal/cluster/consensus": {&consensus.NoQuorumError{}, &consensus.NoQuorumError{OutcomeUnknown: true, Err: errSample}, &consensus.NotLeaderError{Leader: "n1", Address: "at"},
		&consensus.TooLargeError{Size: 2, Limit: 1}, &consensus.OverloadedError{Queue: "reads"}, &consensus.DiskFullError{Path: "/x", OutcomeUnknown: true}, &consensus.CorruptFileError{Path: "/x", Record: "entry 1", Err: errSample},
		&consensus.DataLostError{Name: "n1", Dir: "/x"}, &consensus.NotVoterError{Name: "n1", Reason: "why"}, &consensus.ChangeRejectedError{Reason: "why"}, &consensus.UnreachableError{Address: "at", Err: errSample},
		&consensus.WrongClusterError{Address: "at"}, &consensus.UnavailableError{Address: "at", Reason: (&consensus.NoQuorumError{}).Error()}},
	"internal/cluster/shard": {shard.StaleEpochError{}, shard.AttemptInFlightError{}, shard.DuplicateJobError{}, shard.JobFinishedError{}, shard.NotFoundError{}, shard.StaleAttemptError{}, shard.MayHaveRunError{}, shard.OutsideDedupScopeError{Shard: 1, ID: "j", Worker: "w"},
		shard.GrantRevokedError{}, shard.GrantPendingError{}, shard.NotOwnerError{}, shard.OwnerFullError{}, shard.TransferRejectedError{}, shard.NoMembersError{}},
	"internal/cluster/migration": {&migration.InsufficientCapacityError{}, &migration.MoveRejectedError{Reason: "why"}, &migration.MoveRejectedError{Cause: &migration.InsufficientCapacityError{}}, &migration.StaleMoveError{}},
}

// noActionNeeded matches the texts of errors on which an operator need not act. All other texts have to name something
// to look at or to use.
var noActionNeeded = regexp.MustCompile(`nothing (is )?to (be done|do)|goes on by itself|turned away with 409|ask again later`)

// collectKeys adds to into the keys of an operator's file by the name of their block: those of the struct t, whose
// block is called name, and of the blocks in it.
func collectKeys(t reflect.Type, name string, into map[string]map[string]bool) {
	for t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice {
		t = t.Elem()
	}
	if into[name] == nil {
		into[name] = map[string]bool{}
	}
	for field := range t.Fields() {
		key, kind, _ := strings.Cut(field.Tag.Get("hcl"), ",")
		if key == "" {
			continue
		}
		into[name][key] = true
		if kind == "block" {
			collectKeys(field.Type, key, into)
		}
	}
}

// Everything that an error of the packages of the cluster agreement refers an operator to exists: keys of the
// operator's file, pages and their headings, paths of the admin listener, signals and commands. The test checks each
// string literal in those packages and the text of each error type.
func TestErrorsNameExistingReferences(t *testing.T) {
	keys := map[string]map[string]bool{}
	collectKeys(reflect.TypeFor[operatorconfig.File](), "", keys)
	subcommands := map[string]bool{}
	for _, c := range commands(nil) {
		subcommands[c.name] = true
	}
	service := parsePackage(t, root+"internal/service")
	source := strings.Join(service.code, "\n") + strings.Join(parsePackage(t, root+"internal/admin").code, "\n")

	refs := []struct {
		pattern *regexp.Regexp
		exists  func(m []string) bool
	}{
		{regexp.MustCompile(`(docs/[\w/-]+\.md)(?:, "?([A-Z][a-z]+(?: [a-z]+)*))?`), func(m []string) bool {
			raw, err := os.ReadFile(root + m[1])
			return err == nil && (m[2] == "" || regexp.MustCompile(`(?m)^#+ `+m[2]+`$`).Match(raw))
		}},
		{regexp.MustCompile(`\b(admin|peers|counts|waiting|ageing|rules|accord|shards)\.([a-z_]+)\b`), func(m []string) bool { return m[2] == "md" || m[2] == "db" || keys[m[1]][m[2]] }},
		{regexp.MustCompile(`\b(tenant|class|voter|cluster|placement) (?:%q|"\w+")\.([a-z_]+)`), func(m []string) bool { return keys["rules"][m[1]] && keys[m[1]][m[2]] }},
		{regexp.MustCompile(`\badmin, (/[a-z]+)`), func(m []string) bool { return strings.Contains(source, strconv.Quote(m[1])) }},
		{regexp.MustCompile(`\bSIG([A-Z]+)\b`), func(m []string) bool { return strings.Contains(source, "syscall.SIG"+m[1]) }},
		{regexp.MustCompile(`\bbellstream (check|version|peers|waiting|control|[a-z]+ [A-Z]+)`), func(m []string) bool { return subcommands[strings.Fields(m[1])[0]] }},
	}
	checkReferences := func(at, text string) (count int) {
		for _, r := range refs {
			for _, m := range r.pattern.FindAllStringSubmatch(text, -1) {
				if count++; !r.exists(m) {
					t.Errorf("%s: the reference %s names nothing that exists, in %q", at, m[0], text)
				}
			}
		}
		return count
	}
	found := 0
	for dir, samples := range sampleErrors {
		s := parsePackage(t, root+dir)
		for at, text := range s.text {
			found += checkReferences(at, text)
		}
		for _, err := range samples {
			errType := reflect.TypeOf(err)
			if errType.Kind() == reflect.Pointer {
				errType = errType.Elem()
			}
			delete(s.errors, errType.Name())
			text := err.Error()
			if n := checkReferences(fmt.Sprintf("%T", err), text); n == 0 && !noActionNeeded.MatchString(text) {
				t.Errorf("%T: the text names nothing that an operator can look at or use: %q", err, text)
			}
		}
		for name := range s.errors {
			t.Errorf("%s.%s: sampleErrors has no value of this type", dir, name)
		}
	}
	if found < 20 {
		t.Errorf("found %d references, want at least 20", found)
	}
}

// packageSource is the content of a package's files, without tests.
type packageSource struct {
	text   map[string]string // string literals by position
	code   []string          // the text of each file
	errors map[string]bool   // types with a method Error
}

// parsePackage reads the package in dir.
func parsePackage(t *testing.T, dir string) packageSource {
	t.Helper()
	p := packageSource{text: map[string]string{}, errors: map[string]bool{}}
	files, _ := filepath.Glob(dir + "/*.go")
	set := token.NewFileSet()
	for _, path := range files {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		raw, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		p.code = append(p.code, string(raw))
		f, err := parser.ParseFile(set, path, raw, 0)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(f, func(n ast.Node) bool {
			switch n := n.(type) {
			case *ast.BasicLit:
				if s, err := strconv.Unquote(n.Value); err == nil && n.Kind == token.STRING {
					p.text[set.Position(n.Pos()).String()] = s
				}
			case *ast.FuncDecl:
				if n.Name.Name == "Error" && n.Recv != nil && n.Type.Params.NumFields() == 0 {
					recvType := n.Recv.List[0].Type
					if star, ok := recvType.(*ast.StarExpr); ok {
						recvType = star.X
					}
					p.errors[recvType.(*ast.Ident).Name] = true
				}
			}
			return true
		})
	}
	if len(p.text) == 0 {
		t.Fatalf("found no string literals in %s", dir)
	}
	return p
}
