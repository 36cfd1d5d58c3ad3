package wire

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"example.org/bellstream/internal/cluster/migration"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// golden compares bytes with those of a committed file, and returns the bytes of the file.
func golden(t *testing.T, name string, got []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", "golden", name+".bin")
	if *update {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s is encoded as\n%x, want\n%x", name, got, want)
	}
	return want
}

func goldenID() migration.ID {
	return migration.ID{Key: migration.Key{From: "north", To: "south", Service: "mail"}, Seq: 300}
}

// goldenMessage returns a message whose fields are all set, each to a different value.
func goldenMessage(messageType migration.MessageType, direction migration.Direction) migration.Message {
	return migration.Message{
		Type:    messageType,
		ID:      goldenID(),
		Source:  true,
		Number:  301,
		Amount:  302_000_000,
		Request: migration.DirectionRequest{Number: 303, Direction: direction},
		Advice:  migration.Advice{CapacityStep: 304_000_000, Jobs: 305, PriorityWeight: 306, ServedPPM: 307},
	}
}

func TestGoldenMessages(t *testing.T) {
	bare := migration.Message{
		Type:    migration.MessageDone,
		ID:      migration.ID{Key: migration.Key{From: "a", To: "b", Service: "c"}, Seq: 1},
		Request: migration.DirectionRequest{Direction: migration.Forward},
	}
	cases := map[string][]migration.Message{
		"word-bare": {bare},
		"words-two": {goldenMessage(migration.MessageOffer, migration.Forward), bare},
	}
	messageTypes := []migration.MessageType{migration.MessageOffer, migration.MessageHold, migration.MessageReject, migration.MessageShift,
		migration.MessageAck, migration.MessageTokenPass, migration.MessageSettled, migration.MessageDone}
	for _, messageType := range messageTypes {
		for _, direction := range []migration.Direction{migration.Forward, migration.Backward, migration.Stop} {
			cases["word-"+string(messageType)+"-"+string(direction)] = []migration.Message{goldenMessage(messageType, direction)}
		}
	}
	for name, content := range cases {
		packets := MarshalMessages(content)
		if len(packets) != 1 {
			t.Fatalf("%s: got %d packets, want 1", name, len(packets))
		}
		got, err := UnmarshalMessages(golden(t, name, packets[0]))
		if err != nil || !reflect.DeepEqual(got, content) {
			t.Errorf("%s decodes to %+v, %v", name, got, err)
		}
	}
	if packets := MarshalMessages(nil); len(packets) != 0 {
		t.Errorf("no messages: got %d packets, want 0", len(packets))
	}
	if got, err := UnmarshalMessages(golden(t, "words-empty", marshal(&PacketProto{Version: Version, MinVersion: MinVersion}))); err != nil || got != nil {
		t.Errorf("empty packet decodes to %+v, %v", got, err)
	}
}

func TestGoldenRecords(t *testing.T) {
	id := goldenID()
	cases := map[string]migration.Record{
		"record-bare":     {Step: migration.StepSetCapacity},
		"record-negative": {Step: migration.StepReserve, Service: "mail", Amount: -402_000_000},
	}
	steps := []migration.Step{migration.StepSetCapacity, migration.StepReserve, migration.StepBeginMove, migration.StepReceive, migration.StepShift,
		migration.StepPassToken, migration.StepSetDirection, migration.StepFinish, migration.StepForceRelease}
	for _, step := range steps {
		r := migration.Record{Step: step, Service: "post", Move: id.Key, Seq: id.Seq, Amount: 401_000_000, Direction: migration.Backward}
		if step == migration.StepReceive {
			r.Message = goldenMessage(migration.MessageShift, migration.Stop)
		}
		cases["record-"+string(step)] = r
	}
	for _, direction := range []migration.Direction{migration.Forward, migration.Backward, migration.Stop} {
		cases["record-want-"+string(direction)] = migration.Record{Step: migration.StepSetDirection, Move: id.Key, Seq: id.Seq, Direction: direction}
	}
	for name, content := range cases {
		got, err := UnmarshalRecord(golden(t, name, MarshalRecord(content)))
		if err != nil || got != content {
			t.Errorf("%s decodes to %+v, %v", name, got, err)
		}
	}
}

func TestGoldenStates(t *testing.T) {
	move := func(n uint64, source bool, end migration.EndReason, unacknowledged migration.MessageType) migration.Move {
		m := migration.Move{
			ID:               migration.ID{Key: migration.Key{From: "north", To: "south", Service: "mail"}, Seq: 500 + n},
			Source:           source,
			Amount:           migration.Amount(9_000_000 + n),
			Local:            migration.Amount(2_000_000 + n),
			Number:           510 + n,
			HasToken:         unacknowledged == migration.MessageShift,
			Unacknowledged:   unacknowledged,
			DestinationReady: true,
			Request:          migration.DirectionRequest{Number: 520 + n, Direction: migration.Stop},
			End:              end,
			Closed:           end != migration.Open,
			Shortfall:        migration.Amount(530 + n),
		}
		if unacknowledged == migration.MessageShift {
			m.InTransit = migration.Amount(3_000_000 + n)
		}
		if !source {
			m.ID.From, m.ID.To = m.ID.To, m.ID.From
		}
		m.ID.Service = string(rune('a' + n))
		return m
	}
	full := &migration.State{
		Cluster:  "north",
		Capacity: 600_000_000,
		Reserved: []migration.Reservation{{Service: "a", Amount: 601_000_000}, {Service: "b", Amount: 602_000_000},
			{Service: "c", Amount: 603_000_000}},
		Moves: []migration.Move{
			move(0, true, migration.Open, migration.MessageShift),
			move(1, true, migration.Open, migration.MessageTokenPass),
			move(2, true, migration.Open, ""),
			move(3, true, migration.Completed, ""),
			move(4, true, migration.EndedByPeer, ""),
			move(5, true, migration.Rejected, ""),
			move(6, true, migration.ForceReleased, ""),
			move(7, false, migration.Completed, ""),
		},
	}
	for name, content := range map[string]*migration.State{"state": full, "state-empty": migration.New("north")} {
		got, err := UnmarshalState(golden(t, name, MarshalState(content)))
		if err != nil || !reflect.DeepEqual(got, content) {
			t.Errorf("%s decodes to %+v, %v", name, got, err)
		}
	}
}
