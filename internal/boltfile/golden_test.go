package boltfile

import (
	"fmt"
	"testing"
)

// TestGoldenRecord pins the encoding of a record in all stored files.
func TestGoldenRecord(t *testing.T) {
	const want = "8de8a66b7265636f7264"
	key, record := []byte("key"), []byte("record")
	encoded := EncodeRecord(key, record)
	if got := fmt.Sprintf("%x", encoded); got != want {
		t.Errorf("encoded record: got %s", got)
	}
	var raw []byte
	fmt.Sscanf(want, "%x", &raw)
	if got, ok := DecodeRecord(key, raw); !ok || string(got) != "record" {
		t.Errorf("decoded record: got %q, %v", got, ok)
	}
	if got := fmt.Sprintf("%x", EncodeRecord([]byte("key"), nil)); got != "40a4756d" {
		t.Errorf("encoded empty record: got %s", got)
	}
}
