package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// startFleet starts workers in two zones; six in ten are of the larger kind.
func (r *rig) startFleet(
	count int, b *book, runs func(id, class string, tries int) outcome, dispatchers ...string,
) ([]*worker, error) {
	var list []*worker
	for i := range count {
		w := &worker{id: fmt.Sprintf("s-%04d", i), zone: "sentrum", kind: "stor-5k", block: 1, slots: 5,
			book: b, runs: runs}
		if i%2 == 1 {
			w.zone, w.block = "fana", 2
		}
		if i%5 > 2 {
			w.kind, w.slots = "liten-4k", 4
		}
		if err := r.startWorker(w, dispatchers...); err != nil {
			return nil, err
		}
		list = append(list, w)
	}
	return list, nil
}

// instance is one dispatcher of a cluster.
type instance struct {
	*process
	name       string
	listen     string
	admin      string
	accord     string
	mesh       string
	view       *view
	settings   object
	configPath string
	filePath   string
}

// cluster is a few dispatchers that agree on rules and share tenants' queues as shards.
type cluster struct {
	rig       *rig
	instances []*instance
}

// startCluster starts instances that are all voters and may all own shards.
func (r *rig) startCluster(d *discovery, count int) (*cluster, error) {
	c, err := r.newCluster(d, count)
	if err != nil {
		return nil, err
	}
	return c, c.startAll()
}

// newCluster prepares instances, whose settings may be changed before they are started.
func (r *rig) newCluster(d *discovery, count int) (*cluster, error) {
	c := &cluster{rig: r}
	for i := range count {
		in := &instance{name: fmt.Sprintf("n%d", i), listen: freeAddress(), admin: freeAddress(), accord: freeAddress(),
			mesh: freeAddress(), settings: siteSettings(i, count, "fana")}
		in.settings["caps"].(object)["peers"] = true
		view, err := d.open(in.name)
		if err != nil {
			return nil, err
		}
		in.view = view
		in.configPath = filepath.Join(r.dir, in.name+".json")
		in.filePath = filepath.Join(r.dir, in.name+".hcl")
		c.instances = append(c.instances, in)
	}
	return c, nil
}

// startAll starts all instances and waits until they serve.
func (c *cluster) startAll() error {
	for _, in := range c.instances {
		if err := c.configure(in); err != nil {
			return err
		}
		if err := os.WriteFile(in.filePath, []byte(c.file(in)), 0o600); err != nil {
			return err
		}
		if err := c.start(in); err != nil {
			return err
		}
	}
	for _, in := range c.instances {
		if err := waitReady(in.listen, 20*time.Second); err != nil {
			return err
		}
	}
	return nil
}

// configure writes an instance's configuration file.
func (c *cluster) configure(in *instance) error {
	return writeJSON(in.configPath, config(in.name, in.listen, in.view.address, in.settings))
}

// start starts an instance's process.
func (c *cluster) start(in *instance) error {
	p, err := c.rig.launch(in.name, in.configPath, "BELLSTREAM_FILE="+in.filePath)
	in.process = p
	return err
}

// file returns an instance's operator's file.
func (c *cluster) file(in *instance) string {
	var voters, meshes, names []string
	for _, other := range c.instances {
		voters = append(voters, fmt.Sprintf("%s = %q", other.name, other.accord))
		meshes = append(meshes, fmt.Sprintf("%s = %q", other.name, other.mesh))
		names = append(names, fmt.Sprintf("%q", other.name))
	}
	folder := filepath.Join(c.rig.dir, "accord-"+in.name)
	_ = os.MkdirAll(folder, 0o700)
	return fmt.Sprintf(`admin {
  listen = %q
}
accord {
  cluster = "bergvik"
  listen  = %q
  folder  = %q
  voters  = { %s }
}
shards {
  count     = 16
  listen    = %q
  instances = { %s }
}
rules {
  based_on  = 0
  instances = [%s]
}
`, in.admin, in.accord, folder, strings.Join(voters, ", "),
		in.mesh, strings.Join(meshes, ", "), strings.Join(names, ", "))
}

// shards returns what an instance's admin listener shows of its shards.
func (in *instance) shards() (shown object) {
	if _, body := get(in.admin, "/shards"); body != nil {
		_ = json.Unmarshal(body, &shown)
	}
	return shown
}

// waitSharded waits until the instances own all shards.
func (c *cluster) waitSharded(atMost time.Duration) error {
	for deadline := time.Now().Add(atMost); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		seated := 0.0
		for _, in := range c.instances {
			if n, ok := in.shards()["seated"].(float64); ok {
				seated += n
			}
		}
		if seated == 16 {
			c.rig.note("all shards have owners")
			return nil
		}
	}
	for _, in := range c.instances {
		c.rig.note("%s: %v", in.name, in.shards())
	}
	return fmt.Errorf("the shards have no owners after %v", atMost)
}
