package hollow

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) {
	// memberlist does not wait in Shutdown for its delayed gossip and a running probe, which end by themselves.
	goleak.VerifyTestMain(m, goleak.IgnoreTopFunction("time.Sleep"), goleak.IgnoreTopFunction("github.com/hashicorp/memberlist.(*Memberlist).probeNode"))
}

// freeAddress returns an address whose port is free now for TCP and UDP. The port is outside the range of ephemeral
// ports, since a connection of any process could take one of those between this call and the instance's Listen.
func freeAddress(t *testing.T) string {
	t.Helper()
	const firstPort, ports = 10_000, 22_000
	for range 50 {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(ports))
		stream, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		datagrams, err := net.ListenPacket("udp", address)
		stream.Close()
		if err != nil {
			continue
		}
		datagrams.Close()
		return address
	}
	t.Fatal("no free port found in 50 attempts")
	return ""
}

// writeFiles writes the files of n instances, of which the first three vote.
func writeFiles(t *testing.T, n int) (list []Files) {
	t.Helper()
	dir := t.TempDir()
	put := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	var peers, accord, voters, seats, lines, names []string
	for i := range n {
		peers, accord, seats = append(peers, freeAddress(t)), append(accord, freeAddress(t)), append(seats, freeAddress(t))
		lines, names = append(lines, fmt.Sprintf("n%d = %q", i, seats[i])), append(names, fmt.Sprintf("\"n%d\"", i))
		if i < 3 {
			voters = append(voters, fmt.Sprintf("n%d = %q", i, accord[i]))
		}
	}
	for i := range n {
		name := fmt.Sprintf("n%d", i)
		list = append(list, Files{
			Config: put(name+".json", fmt.Sprintf(`{"name":%q,"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1","limits":{"cores":1,"memory_mb":192,"sockets":1024},
"known":{"version":0,"targets":[]},"settings":{"me":%d,"balancers":%d,"zone":"z","membership_mode":"pushed","round":0.004,
"lanes":[{"name":"job","aim":0.6,"aim_stretch":2,"hard_limit":3,"value":1,"semantics":"safe"}],
"parties":[{"name":"a","quota_per_s":30},{"name":"b","quota_per_s":10}]}}`, name, i, n)),
			File: put(name+".hcl", fmt.Sprintf("peers {\n listen = %q\n join = [%q]\n cluster = \"c\"\n period = \"100ms\"\n}\n"+
				"accord {\n cluster = \"c\"\n listen = %q\n folder = %q\n voters = { %s }\n lease = \"1s\"\n period = \"250ms\"\n delay = \"30ms\"\n}\n"+
				"shards {\n count = 20\n listen = %q\n instances = { %s }\n}\nrules {\n based_on = 0\n instances = [%s]\n tenant \"a\" {\n weight = 2\n }\n}\n",
				peers[i], peers[0], accord[i], filepath.Join(dir, name), strings.Join(voters, ", "), seats[i], strings.Join(lines, ", "), strings.Join(names, ", "))),
		})
	}
	return list
}

// testServer runs Serve in a goroutine and exchanges lines with it, as with a process.
type testServer struct {
	t    *testing.T
	in   *json.Encoder
	out  *json.Decoder
	stop func()
	err  error
}

func serve(t *testing.T, s Spec) *testServer {
	t.Helper()
	commands, in := io.Pipe()
	out, responses := io.Pipe()
	ended := make(chan error, 1)
	go func() {
		err := Serve(commands, responses, zerolog.Nop())
		responses.Close()
		ended <- err
	}()
	x := &testServer{t: t, in: json.NewEncoder(in), out: json.NewDecoder(out)}
	x.stop = func() {
		in.Close()
		x.err = <-ended
	}
	if err := x.in.Encode(s); err != nil {
		t.Fatal(err)
	}
	return x
}

func (s *testServer) response() (a Response) {
	s.t.Helper()
	if err := s.out.Decode(&a); err != nil {
		s.t.Fatal(err)
	}
	return a
}

func (s *testServer) command(o Command) Response {
	s.t.Helper()
	if err := s.in.Encode(o); err != nil {
		s.t.Fatal(err)
	}
	return s.response()
}

// waitFor waits up to 20 s for a condition that depends on the network.
func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not in 20 s: %s", what)
		}
	}
}

// Hollow instances join a cluster, agree on rules and all count the same starts. After one has left, the others own its
// shards.
func TestCluster(t *testing.T) {
	s := serve(t, Spec{Seed: 7, Instances: writeFiles(t, 5)})
	if a := s.response(); a.Error != "" || a.Usage.Goroutines == 0 || a.Usage.Descriptors == 0 || a.Usage.Resident == 0 {
		t.Fatalf("response to the spec: got %+v, want no error and the usage", a)
	}
	all := func(ok func(State) bool) func() bool {
		return func() bool {
			for _, x := range s.command(Command{Report: true}).All {
				if !ok(x) {
					return false
				}
			}
			return true
		}
	}
	waitFor(t, "all instances have joined, and have a lease and rules", all(func(x State) bool { return x.Joined && x.Peers == 4 && x.Leased && x.Version >= 1 }))
	allOwned := func(of int) func() bool {
		return func() bool {
			sum := 0
			for _, x := range s.command(Command{Report: true}).All[:of] {
				sum += x.OwnedShards
			}
			return sum == 20
		}
	}
	waitFor(t, "each shard has one owner", allOwned(5))
	rate := Demand{"a": 100, "b": 20}
	s.command(Command{Demand: []Demand{rate, rate, nil, rate}})
	started := func() (n uint64) {
		for _, x := range s.command(Command{Report: true}).All {
			n += x.Starts
		}
		return n
	}
	waitFor(t, "more than 100 starts are generated", func() bool { return started() > 100 })
	s.command(Command{Demand: []Demand{{}, {}, {}, {}, {}}})
	want := started()
	waitFor(t, "all instances count all starts", all(func(x State) bool { return x.Net == want }))
	leaders := 0
	for i, x := range s.command(Command{Report: true}).All {
		if x.Starts > 0 != (i == 0 || i == 1 || i == 3) || x.SentBytes == 0 {
			t.Errorf("instance %d: unexpected starts or no bytes sent: %+v", i, x)
		}
		if x.Leads {
			leaders++
		}
	}
	if leaders != 1 {
		t.Errorf("got %d leaders, want 1", leaders)
	}
	if s.command(Command{Report: true}).All[4].OwnedShards == 0 {
		t.Error("instance 4 owns no shard")
	}
	s.command(Command{Stop: []int{4}})
	waitFor(t, "the others go on without the one that left", func() bool {
		for _, x := range s.command(Command{Report: true}).All[:4] {
			if x.Peers != 3 {
				return false
			}
		}
		return true
	})
	waitFor(t, "the others own all shards", allOwned(4))
	s.stop()
	if s.err != nil {
		t.Error(s.err)
	}
}

// Serve reports an instance that can't be started, and input that can't be read.
func TestServeErrors(t *testing.T) {
	s := serve(t, Spec{Instances: []Files{{Config: "/nowhere", File: "/nowhere"}}})
	if a := s.response(); a.Error == "" {
		t.Errorf("response for an instance without files: got %+v, want an error", a)
	}
	if s.stop(); s.err == nil {
		t.Error("Serve returned no error for an instance without files")
	}
	for _, in := range []string{"", "x\n"} {
		if err := Serve(strings.NewReader(in), io.Discard, zerolog.Nop()); err == nil {
			t.Errorf("input %q: got no error, want one", in)
		}
	}
	if err := Serve(strings.NewReader("{}\n[\n"), io.Discard, zerolog.Nop()); err == nil {
		t.Error("invalid command: got no error, want one")
	}
}
