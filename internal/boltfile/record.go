package boltfile

import (
	"encoding/binary"
	"hash/crc32"
)

const checksumBytes = 4

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// EncodeRecord returns the value to store for a record: a checksum followed by the record.
// The checksum covers the key too, so that a record stored under another key is detected.
func EncodeRecord(key, record []byte) []byte {
	value := make([]byte, 0, checksumBytes+len(record))
	value = binary.BigEndian.AppendUint32(value, recordChecksum(key, record))
	return append(value, record...)
}

// DecodeRecord returns the record in a value that is stored under a key; false if the
// value is corrupt. The record shares the memory of the value.
func DecodeRecord(key, value []byte) ([]byte, bool) {
	if len(value) < checksumBytes {
		return nil, false
	}
	record := value[checksumBytes:]
	if binary.BigEndian.Uint32(value) != recordChecksum(key, record) {
		return nil, false
	}
	return record, true
}

func recordChecksum(key, record []byte) uint32 {
	return crc32.Update(crc32.Checksum(key, castagnoli), castagnoli, record)
}
