package service

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"example.org/bellstream/internal/cluster/gossip"
	"example.org/bellstream/internal/cluster/quota"
	"example.org/bellstream/internal/deferred"
	"example.org/bellstream/internal/dispatcher"
	"example.org/bellstream/internal/operatorconfig"
)

const (
	adminTimeout       = 3 * time.Second
	maxAdminBodyBytes  = 16 << 20
	tableColumnPadding = 2
)

// AdminQuery selects the instance that a command reads from, and the format in which it prints the response.
type AdminQuery struct {
	Address      string // of the admin listener; if empty, it is read from the operator's file
	OperatorPath string
	JSON         bool // print the response's JSON unchanged
}

// ShowWaiting prints the queues and the deferred jobs of an instance.
func ShowWaiting(out io.Writer, query AdminQuery) error {
	var stats dispatcher.Stats
	done, err := query.fetch(out, "/waiting", &stats)
	if err != nil || done {
		return err
	}
	table := newTable(out)
	if stats.DeferredEnabled {
		printDeferred(table, stats.Stats)
	} else {
		fmt.Fprintln(table, "no job may wait for others or for a time: there is no waiting block")
	}
	printDepths(table, stats.Depths)
	printFirstAttempts(table, stats.FirstAttempts)
	return table.Flush()
}

// ShowPeers prints an instance's view of its cluster: the peers and the tenants' reservations.
func ShowPeers(out io.Writer, query AdminQuery) error {
	var status gossip.Status
	done, err := query.fetch(out, "/peers", &status)
	if err != nil || done {
		return err
	}
	table := newTable(out)
	fmt.Fprintf(table, "%s of %s\tat %s\tincarnation %d\thome 1/%d\tjoined %v\thomed %v\towns parts of %d tenants\n\n",
		status.Name,
		status.Cluster,
		status.Listen,
		status.Incarnation,
		status.Size,
		status.Joined,
		status.HashedOwnership,
		status.OwnedTenants)
	printPeers(table, status.Peers)
	printTenants(table, status.Tenants)
	for _, reason := range slices.Sorted(maps.Keys(status.Drops)) {
		fmt.Fprintf(table, "\ndropped\t%d\t%s", status.Drops[reason], reason)
	}
	fmt.Fprintln(table)
	return table.Flush()
}

func newTable(out io.Writer) *tabwriter.Writer {
	return tabwriter.NewWriter(out, 0, 4, tableColumnPadding, ' ', 0)
}

func printDeferred(out io.Writer, s deferred.Stats) {
	fmt.Fprintf(out, "waiting now\t%d jobs, %d bytes\n", s.Waiting, s.Bytes)
	fmt.Fprintf(out, "ids that have not come\t%d\n", s.UnknownParents)
	fmt.Fprintf(out, "ends remembered\t%d\n", s.Ended)
	fmt.Fprintf(out, "became eligible\t%d\n", s.Released)
	fmt.Fprintf(out, "ended with one that they waited for\t%d\n", s.Cascaded)
	fmt.Fprintf(out, "time over while waiting\t%d\n", s.Expired)
	fmt.Fprintf(out, "refused for want of room\t%d\n", s.Refused)
	fmt.Fprintf(out, "wishes that can't be granted\t%d\n", s.Invalid)
}

func printDepths(out io.Writer, depths []deferred.Depth) {
	fmt.Fprintln(out, "\nSTAGE\tCLASS\tTENANT\tJOBS\tOLDEST")
	for _, d := range depths {
		fmt.Fprintf(out, "%s\t%s\t%s\t%d\t%.3f s\n", d.Stage, d.Class, d.Tenant, d.Jobs, d.Oldest)
	}
}

func printFirstAttempts(out io.Writer, classes []deferred.FirstAttempts) {
	fmt.Fprintln(out, "\nCLASS\tFIRST HOPS\tMEAN WAIT\tLONGEST\tLATE\tUNSENT\tREFUSED")
	for _, c := range classes {
		meanWait := c.Waited / max(float64(c.Sent), 1)
		fmt.Fprintf(out, "%s\t%d\t%.3f s\t%.3f s\t%d\t%d\t%d\n",
			c.Class, c.Sent, meanWait, c.Longest, c.Late, c.Unsent, c.Declined)
	}
}

func printPeers(out io.Writer, peers []quota.PeerStatus) {
	fmt.Fprintf(out, "PEER\tSEEN\tHEARD\tHEARS US\tAGREES\tSAME TENANTS\tLENT TO\tBORROWED\n")
	for _, p := range peers {
		age := "never"
		if p.Age >= 0 {
			age = fmt.Sprintf("%.1f s ago", p.Age)
		}
		fmt.Fprintf(out, "%s\t%v\t%s\t%v\t%v\t%v\t%d\t%d\n",
			p.Name, p.Present, age, p.Acknowledges, p.ViewAgrees, p.SameTable, p.LentTenants, p.BorrowedTenants)
	}
}

func printTenants(out io.Writer, tenants []gossip.TenantStatus) {
	fmt.Fprintf(out, "\nTENANT\tRESERVED\tHERE\tSTARTED BY ALL\tHERE\n")
	for _, t := range tenants {
		fmt.Fprintf(out, "%s\t%.1f/s\t%.1f%%\t%.0f\t%.0f\n", t.Name, t.Quota, t.Allotment*100, t.Started, t.StartedHere)
	}
}

// fetch reads a path of the admin listener. It decodes the response into value; if the query is for JSON, it copies
// the response to out instead and returns done as true.
func (q AdminQuery) fetch(out io.Writer, path string, value any) (done bool, err error) {
	body, err := q.get(path)
	if err != nil {
		return false, err
	}
	if q.JSON {
		_, err := out.Write(body)
		return true, err
	}
	if err := json.Unmarshal(body, value); err != nil {
		return false, fmt.Errorf("%s: %w", strings.TrimPrefix(path, "/"), err)
	}
	return false, nil
}

func (q AdminQuery) get(path string) (body []byte, err error) {
	address, err := q.address()
	if err != nil {
		return nil, err
	}
	client := http.Client{Timeout: adminTimeout}
	resp, err := client.Get("http://" + address + path)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body, err = io.ReadAll(io.LimitReader(resp.Body, maxAdminBodyBytes))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s%s: %s: %s", address, path, resp.Status, body)
	}
	return body, nil
}

// address returns the address of the admin listener, or an error if neither the query nor the operator's file has one.
func (q AdminQuery) address() (string, error) {
	if q.Address != "" {
		return q.Address, nil
	}
	if q.OperatorPath == "" {
		return "", errors.New("name the admin listener by --admin, or a file that has one by --file")
	}
	file, err := operatorconfig.Load(q.OperatorPath)
	if err != nil {
		return "", err
	}
	if file.Admin == nil {
		return "", fmt.Errorf("%s: there is no admin block", q.OperatorPath)
	}
	return file.Admin.Listen, nil
}
