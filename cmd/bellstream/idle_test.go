package main

import (
	"bufio"
	"bytes"
	"debug/elf"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"golang.org/x/sys/unix"

	"example.org/bellstream/internal/lab/wiretest"
)

// Limits of an idle program without an operator's file, in kB. With kong and gohcl, its loadable segments had 19,358
// kB, it allocated 713 kB before main, and 16,932 to 17,584 kB were resident; without them, 15,878, 496 and 14,792 to
// 15,440 kB. Linked code counts even if the feature is switched off: the package variables of a library are
// initialized, and the kernel maps 64 KiB of the file around each page that is touched.
const (
	maxLoadedKB        = 16800
	maxInitAllocatedKB = 580
	maxResidentKB      = 16000
)

// TestIdleMemory builds the program as the platform does and measures its memory. The first two figures are the same
// on every machine, and show what makes the third one grow. A limit is raised only in a commit of its own that says
// what the memory is needed for.
func TestIdleMemory(t *testing.T) {
	if testing.Short() {
		t.Skip("links the program")
	}
	path := buildProgram(t)
	f, err := elf.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	loaded := 0
	for _, p := range f.Progs {
		if p.Type == elf.PT_LOAD {
			loaded += int(p.Filesz) >> 10
		}
	}
	f.Close()
	checkLimit := func(what string, got, bound int) {
		t.Helper()
		t.Logf("%s: %d kB", what, got)
		if got > bound {
			t.Errorf("%s: got %d kB, want at most %d", what, got, bound)
		}
	}
	checkLimit("loaded segments of the file", loaded, maxLoadedKB)

	first := exec.Command(path, "version")
	first.Env = append(os.Environ(), "GODEBUG=inittrace=1")
	var trace bytes.Buffer
	if first.Stderr = &trace; first.Run() != nil {
		t.Fatalf("bellstream version failed: %s", trace.String())
	}
	allocated := 0
	for _, m := range regexp.MustCompile(`(?m)^init .*, (\d+) bytes,`).FindAllStringSubmatch(trace.String(), -1) {
		n, _ := strconv.Atoi(m[1])
		allocated += n
	}
	if allocated == 0 {
		t.Fatalf("no init trace in the output: %s", trace.String())
	}
	checkLimit("allocated before main", allocated>>10, maxInitAllocatedKB)

	// The file is run from a memfd. The page cache of a file system may hold a file in folios of up to 2 MiB,
	// depending on how it was written; whole folios are mapped, which makes the resident size vary.
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	fd, err := unix.MemfdCreate("bellstream", unix.MFD_CLOEXEC)
	if err != nil {
		t.Fatal(err)
	}
	memory := os.NewFile(uintptr(fd), "bellstream")
	defer memory.Close()
	if _, err := memory.Write(raw); err != nil {
		t.Fatal(err)
	}
	target := wiretest.NewTarget(t)
	discovery := newFakeDiscovery(t, fmt.Sprintf(`{"seq":9,"whole":true,"hosts":[{"host":"s","dial":%q,"site":"z","health":"active"}]}`, target.Addr))
	conf := filepath.Join(t.TempDir(), "config.json")
	writeFile(t, conf, strings.Replace(fmt.Sprintf(sampleConfig, discovery.addr, target.Addr), `"cores":1`, `"cores":8`, 1))
	idle := exec.Command(fmt.Sprintf("/proc/%d/fd/%d", os.Getpid(), fd))
	idle.Env = append(os.Environ(), "RELAY_CONFIG="+conf, "GOMAXPROCS=8", "BELLSTREAM_FILE=", "RELAY_CONTROL=")
	log, err := idle.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := idle.Start(); err != nil {
		t.Fatal(err)
	}
	defer idle.Process.Kill()
	addr := waitForLog(t, bufio.NewReader(log), "listens on ")
	wiretest.Get(t, discovery.calls, "a watch")
	waitUntilReady(t, addr)
	checkLimit("resident while serving", memoryKB(t, idle.Process.Pid, "VmRSS"), maxResidentKB)
}
