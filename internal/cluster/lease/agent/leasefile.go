package agent

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"os"
	"path/filepath"

	"example.org/bellstream/internal/cluster/lease"
)

// Permissions of the directories and files that the agent creates.
const (
	dirMode  = 0o700
	fileMode = 0o600
)

// leaseFile persists the durable state of the holder: its cluster and the
// highest revision that it received. The small file is replaced atomically.
type leaseFile struct {
	path     string
	cluster  string
	revision lease.Revision
}

type leaseFileContent struct {
	Cluster  string `json:"cluster"`
	Version  uint64 `json:"version"`
	Stage    uint8  `json:"stage"`
	Checksum uint32 `json:"checksum"`
}

func (c leaseFileContent) computeChecksum() uint32 {
	return crc32.ChecksumIEEE(fmt.Appendf(nil, "%q %d %d", c.Cluster, c.Version, c.Stage))
}

var errChecksum = errors.New("checksum mismatch")

// CorruptFileError reports a lease file that can't be read.
type CorruptFileError struct {
	Path string
	Err  error
}

func (e *CorruptFileError) Error() string {
	return fmt.Sprintf("accord: %s can't be read (%v): remove it while no version is being rolled out, "+
		"then start again (docs/operators/accord.md)", e.Path, e.Err)
}

// Unwrap returns the cause.
func (e *CorruptFileError) Unwrap() error { return e.Err }

// openLeaseFile reads the file at path, if there is one, and creates its directory. A file that can't be read is a
// *CorruptFileError.
func openLeaseFile(path string) (*leaseFile, error) {
	if err := os.MkdirAll(filepath.Dir(path), dirMode); err != nil {
		return nil, fmt.Errorf("accord: %w", err)
	}
	raw, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return &leaseFile{path: path}, nil
	}
	if err != nil {
		return nil, &CorruptFileError{Path: path, Err: err}
	}
	content, err := decodeLeaseFile(raw)
	if err != nil {
		return nil, &CorruptFileError{Path: path, Err: err}
	}
	return &leaseFile{
		path:     path,
		cluster:  content.Cluster,
		revision: lease.Revision{Version: content.Version, Stage: lease.Stage(content.Stage)},
	}, nil
}

func decodeLeaseFile(raw []byte) (leaseFileContent, error) {
	var content leaseFileContent
	if err := json.Unmarshal(raw, &content); err != nil {
		return leaseFileContent{}, err
	}
	if content.Checksum != content.computeChecksum() {
		return leaseFileContent{}, errChecksum
	}
	return content, nil
}

// save writes the file and syncs it, unless its content is the same.
func (f *leaseFile) save(cluster string, r lease.Revision) error {
	if cluster == f.cluster && r == f.revision {
		return nil
	}
	content := leaseFileContent{
		Cluster: cluster,
		Version: r.Version,
		Stage:   uint8(r.Stage),
	}
	content.Checksum = content.computeChecksum()
	raw, err := json.Marshal(content)
	if err != nil {
		return err
	}
	if err := replaceFile(f.path, raw); err != nil {
		return fmt.Errorf("accord: new rules are not applied, because %s can't be written: "+
			"free space on its disk, the write is retried automatically: %w", f.path, err)
	}
	f.cluster = cluster
	f.revision = r
	return nil
}

// replaceFile replaces a file atomically and syncs it and its directory.
func replaceFile(path string, content []byte) error {
	// The name has the process ID because two processes use the directory during an upgrade.
	temporary := fmt.Sprintf("%s.new%d", path, os.Getpid())
	if err := writeSynced(temporary, content); err != nil {
		return err
	}
	if err := os.Rename(temporary, path); err != nil {
		return err
	}
	return syncDir(filepath.Dir(path))
}

func writeSynced(path string, content []byte) error {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	_, err = file.Write(content)
	if err == nil {
		err = file.Sync()
	}
	return errors.Join(err, file.Close())
}

func syncDir(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}
