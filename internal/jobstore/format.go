package jobstore

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"

	"go.etcd.io/bbolt"

	"example.org/bellstream/internal/boltfile"
	"example.org/bellstream/internal/jobledger"
)

// FormatVersion is the version of the file's format.
const FormatVersion = 1

var (
	bucketRecords = []byte("records")
	bucketMeta    = []byte("meta")
	keyVersion    = []byte("version")
)

// Sizes of the parts of a key before and after the ID.
const (
	keyLengthBytes = 2
	keyNumberBytes = 8
)

// create writes the first content of a new file.
func create(tx *bbolt.Tx) error {
	meta, err := tx.CreateBucket(bucketMeta)
	if err != nil {
		return err
	}
	if err := meta.Put(keyVersion, []byte{FormatVersion}); err != nil {
		return err
	}
	_, err = tx.CreateBucket(bucketRecords)
	return err
}

func isEmpty(tx *bbolt.Tx) bool {
	return tx.Bucket(bucketMeta) == nil && tx.Bucket(bucketRecords) == nil
}

func checkFormat(tx *bbolt.Tx) error {
	meta := tx.Bucket(bucketMeta)
	if meta == nil || tx.Bucket(bucketRecords) == nil {
		return errors.New("not a job store, or its metadata is damaged")
	}
	version := meta.Get(keyVersion)
	if len(version) != 1 {
		return errors.New("not a job store, or its metadata is damaged")
	}
	if version[0] != FormatVersion {
		return fmt.Errorf("format version %d is not supported, want %d", version[0], FormatVersion)
	}
	return nil
}

// ForEachRecord calls f for every record of the file, ordered by length of the job's ID, ID
// and number. It stops with an error at the first corrupt record or the first error of f.
func ForEachRecord(tx *bbolt.Tx, f func(id string, number uint64, record jobledger.Record) error) error {
	records := tx.Bucket(bucketRecords)
	if records == nil {
		return nil
	}
	return records.ForEach(func(key, value []byte) error {
		id, number, err := decodeRecordKey(key)
		if err != nil {
			return err
		}
		encoded, ok := boltfile.DecodeRecord(key, value)
		if !ok {
			return fmt.Errorf("job %q: record %d is damaged", id, number)
		}
		var record jobledger.Record
		if err := json.Unmarshal(encoded, &record); err != nil {
			return fmt.Errorf("job %q: record %d can't be read: %w", id, number, err)
		}
		if record.ID != id {
			return fmt.Errorf("job %q: record %d can't be read: it has the ID of job %q", id, number, record.ID)
		}
		return f(id, number, record)
	})
}

// recordKey returns the key of a job's record: the length of the ID, the ID, and the number. Integers are big-endian.
func recordKey(id string, number uint64) []byte {
	key := binary.BigEndian.AppendUint16(nil, uint16(len(id)))
	key = append(key, id...)
	return binary.BigEndian.AppendUint64(key, number)
}

func decodeRecordKey(key []byte) (id string, number uint64, err error) {
	const fixedBytes = keyLengthBytes + keyNumberBytes
	if len(key) < fixedBytes || len(key) != fixedBytes+int(binary.BigEndian.Uint16(key)) {
		return "", 0, fmt.Errorf("a key of %d bytes is damaged", len(key))
	}
	end := len(key) - keyNumberBytes
	return string(key[keyLengthBytes:end]), binary.BigEndian.Uint64(key[end:]), nil
}
