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

var errWhy = errors.New("why")

// said has each error type of the agreed parts, with a text.
var said = map[string][]error{
	"internal/cluster/config": {config.ValidationError{Key: `tenant "a".reservation`, Message: "why"}, config.ValidationErrors{{Key: "based_on", Message: "why"}},
		&config.OutdatedError{Base: 3, Newest: 5, UnknownUpTo: 4, Changes: []config.VersionChange{{Version: 5, ProposedBy: "n1", Keys: []string{"out"}}}},
		&config.MalformedError{Err: errWhy}, &config.UnsupportedFormatError{Version: 4, Err: errWhy}},
	"internal/cluster/lease": {&lease.InvalidSettingError{Key: "accord.period", Reason: "why"}, &lease.ExpiredError{}, &lease.ExpiredError{ExpiredSeconds: 3},
		&lease.StaleProposalError{Base: 3, Newest: 4, Changes: []lease.Change{{Version: 4, Proposer: "n1", Keys: []string{"out"}}}}, &lease.ProposalInProgressError{Proposer: "n1"},
		&lease.ClusterMismatchError{Local: "a", Remote: "b"}, &lease.StateLostError{}, &lease.NotLeaderError{}, &lease.NotReadyError{Reason: "no rules have been proposed: add them to an operator's file and send SIGHUP"},
		&lease.TooManyHoldersError{}, &lease.StaleEntryError{Entry: "the lease"}, &lease.CorruptMessageError{Subject: "an entry", Reason: "why"}, &lease.UnsupportedFormatError{Subject: "an entry"},
		&lease.DroppedGrantError{Reason: lease.NotOutstanding}, &lease.DroppedGrantError{Reason: lease.StaleRevision, Cause: &lease.StateLostError{}}},
	"internal/cluster/lease/agent": {&agent.CorruptFileError{Path: "/x", Err: errWhy}, &agent.RejectedError{Reason: (&lease.NotLeaderError{}).Error()}},
	"internal/cluster/consensus": {&consensus.NoQuorumError{}, &consensus.NoQuorumError{OutcomeUnknown: true, Err: errWhy}, &consensus.NotLeaderError{Leader: "n1", Address: "at"},
		&consensus.TooLargeError{Size: 2, Limit: 1}, &consensus.OverloadedError{Queue: "reads"}, &consensus.DiskFullError{Path: "/x", OutcomeUnknown: true}, &consensus.CorruptFileError{Path: "/x", Record: "entry 1", Err: errWhy},
		&consensus.DataLostError{Name: "n1", Dir: "/x"}, &consensus.NotVoterError{Name: "n1", Reason: "why"}, &consensus.ChangeRejectedError{Reason: "why"}, &consensus.UnreachableError{Address: "at", Err: errWhy},
		&consensus.WrongClusterError{Address: "at"}, &consensus.UnavailableError{Address: "at", Reason: (&consensus.NoQuorumError{}).Error()}},
	"internal/cluster/shard": {shard.StaleEpochError{}, shard.AttemptInFlightError{}, shard.DuplicateJobError{}, shard.JobFinishedError{}, shard.NotFoundError{}, shard.StaleAttemptError{}, shard.MayHaveRunError{},
		shard.GrantRevokedError{}, shard.GrantPendingError{}, shard.NotOwnerError{}, shard.OwnerFullError{}, shard.TransferRejectedError{}, shard.NoMembersError{}},
	"internal/cluster/migration": {&migration.InsufficientCapacityError{}, &migration.MoveRejectedError{Reason: "why"}, &migration.MoveRejectedError{Cause: &migration.InsufficientCapacityError{}}, &migration.StaleMoveError{}},
}

// nothing is said where an operator need do nothing; the rest names what to look at, or use.
var nothing = regexp.MustCompile(`nothing (is )?to (be done|do)|goes on by itself|turned away with 409|ask again later`)

// blocks are the keys of an operator's file by block, and those of the blocks in them.
func blocks(t reflect.Type, name string, into map[string]map[string]bool) {
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
			blocks(field.Type, key, into)
		}
	}
}

// Whatever an error of the agreed parts tells an operator to look at is there: keys of the operator's
// file, pages and their headings, paths of the admin listener, signals and commands. That goes
// for each text in those packages, and for each error type as it is shown.
func TestErrorsNameWhatThereIs(t *testing.T) {
	keys := map[string]map[string]bool{}
	blocks(reflect.TypeFor[operatorconfig.File](), "", keys)
	subcommands := map[string]bool{}
	for _, c := range commands(nil) {
		subcommands[c.name] = true
	}
	wired := texts(t, root+"internal/service")
	source := strings.Join(wired.code, "\n") + strings.Join(texts(t, root+"internal/admin").code, "\n")

	refs := []struct {
		form   *regexp.Regexp
		exists func(m []string) bool
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
	walk := func(at, text string) (named int) {
		for _, r := range refs {
			for _, m := range r.form.FindAllStringSubmatch(text, -1) {
				if named++; !r.exists(m) {
					t.Errorf("%s: there is no %s: %q", at, m[0], text)
				}
			}
		}
		return named
	}
	found := 0
	for dir, list := range said {
		s := texts(t, root+dir)
		for at, text := range s.text {
			found += walk(at, text)
		}
		for _, err := range list {
			of := reflect.TypeOf(err)
			if of.Kind() == reflect.Pointer {
				of = of.Elem()
			}
			delete(s.errors, of.Name())
			text := err.Error()
			if n := walk(fmt.Sprintf("%T", err), text); n == 0 && !nothing.MatchString(text) {
				t.Errorf("%T names nothing that an operator can look at or use: %q", err, text)
			}
		}
		for name := range s.errors {
			t.Errorf("%s.%s: no text of it is looked at", dir, name)
		}
	}
	if found < 20 {
		t.Errorf("%d references are found in the texts", found)
	}
}

// parsed is what a package's files hold, tests apart.
type parsed struct {
	text   map[string]string // by place
	code   []string
	errors map[string]bool // types with a method Error
}

func texts(t *testing.T, dir string) parsed {
	t.Helper()
	p := parsed{text: map[string]string{}, errors: map[string]bool{}}
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
					of := n.Recv.List[0].Type
					if star, ok := of.(*ast.StarExpr); ok {
						of = star.X
					}
					p.errors[of.(*ast.Ident).Name] = true
				}
			}
			return true
		})
	}
	if len(p.text) == 0 {
		t.Fatalf("nothing is in %s", dir)
	}
	return p
}
