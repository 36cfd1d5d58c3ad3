package wire

import (
	"errors"
	"math/rand/v2"
	"os"
	"reflect"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"example.org/bellstream/internal/cluster/migration"
)

var services = []string{"s", "t"}

// TestRandomRecords applies random valid and invalid records to three clusters, and checks the invariants after each.
// Messages are encoded and decoded, and may arrive late, repeatedly or never. A cluster that restarts decodes its state.
func TestRandomRecords(t *testing.T) {
	shifts, begunMoves, finishedMoves := 0, 0, 0
	for seed := range uint64(200) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		names, expected := []string{"a", "b", "c"}, map[string]migration.Amount{}
		states, journals := map[string]*migration.State{}, make([]migration.Journal, len(names))
		var sent [][]byte
		now := 0.0
		apply := func(n int, r migration.Record) {
			raw := MarshalRecord(r)
			read, err := UnmarshalRecord(raw)
			if err != nil || read != r {
				t.Fatalf("record %+v decodes to %+v, %v", r, read, err)
			}
			before := states[names[n]]
			after, err := before.Apply(r)
			var insufficient *migration.InsufficientCapacityError
			var rejected *migration.MoveRejectedError
			var stale *migration.StaleMoveError
			if err != nil {
				if !errors.As(err, &insufficient) && !errors.As(err, &rejected) && !errors.As(err, &stale) || after != before {
					t.Fatalf("%+v: got unexpected error or a changed state: %v", r, err)
				}
				_, page, _ := strings.Cut(err.Error(), "(docs/")
				page, section, _ := strings.Cut(strings.TrimSuffix(page, ")"), ", ")
				if text, err := os.ReadFile("../../../../docs/" + page); err != nil || !strings.Contains(string(text), "## "+section) {
					t.Fatalf("error refers to page %q, section %q, which can't be found: %v", page, section, err)
				}
				return
			}
			if now++; r.Step == migration.StepReserve {
				expected[r.Service] += r.Amount
			}
			states[names[n]] = after
			journals[n].Entries = append(journals[n].Entries, migration.Entry{AtSeconds: now, Record: r})
			switch r.Step {
			case migration.StepShift:
				shifts++
			case migration.StepBeginMove:
				begunMoves++
			case migration.StepFinish:
				finishedMoves++
			}
			sent = append(sent, MarshalMessages(after.Outbox())...)
			if v := migration.CheckInvariants(expected, states["a"], states["b"], states["c"]); v != nil {
				t.Fatalf("seed %d, after %+v: %v", seed, r, v)
			}
		}
		for n, name := range names {
			states[name], journals[n].Cluster = migration.New(name), name
		}
		for n := range names {
			apply(n, migration.Record{Step: migration.StepSetCapacity, Amount: 1500})
			apply(n, migration.Record{Step: migration.StepReserve, Service: services[n%2], Amount: 300})
		}
		for range 500 {
			n := rnd.IntN(3)
			s := states[names[n]]
			var m migration.Move
			r := migration.Record{Amount: migration.Amount(rnd.IntN(650) - 50), Service: services[rnd.IntN(2)]}
			for range len(s.Moves) { // prefers an open move
				if m = s.Moves[rnd.IntN(len(s.Moves))]; m.End == migration.Open {
					break
				}
			}
			if len(s.Moves) > 0 {
				r.Move, r.Seq = m.ID.Key, m.ID.Seq
			}
			switch rnd.IntN(30) {
			case 0:
				r.Step, r.Amount = migration.StepSetCapacity, r.Amount+700
			case 1:
				r.Step = migration.StepReserve
			case 2, 3:
				r.Step, r.Move, r.Seq = migration.StepBeginMove, migration.Key{From: names[n], To: names[(n+1+int(max(0, r.Amount))%2)%3], Service: r.Service}, 0
				r.Amount = min(r.Amount, s.Unclaimed(r.Service))
			case 4:
				r.Step, r.Direction = migration.StepSetDirection, []migration.Direction{migration.Forward, migration.Forward, migration.Backward, migration.Stop}[rnd.IntN(4)]
			case 5:
				r.Step = []migration.Step{migration.StepPassToken, migration.StepFinish, migration.StepFinish, migration.StepFinish, migration.StepFinish, migration.StepForceRelease}[rnd.IntN(6)]
			case 6, 7, 8:
				r.Step, r.Amount = migration.StepShift, min(r.Amount/4, m.Shiftable())
			case 9:
				back, err := UnmarshalState(MarshalState(s))
				if err != nil || !reflect.DeepEqual(back.Moves, s.Moves) || !reflect.DeepEqual(back.Ledger(), s.Ledger()) {
					t.Fatalf("state %+v decodes to %+v, %v", s, back, err)
				}
				states[names[n]] = back
				continue
			case 10:
				for _, r := range s.DueRecords() {
					apply(n, r)
				}
				continue
			default:
				if len(sent) == 0 {
					continue
				}
				at := len(sent) - 1 - rnd.IntN(min(len(sent), 12))
				list, err := UnmarshalMessages(sent[at])
				if err != nil {
					t.Fatal(err)
				}
				for _, message := range list {
					for to, name := range names {
						if message.Source && message.ID.To == name || !message.Source && message.ID.From == name {
							if r, changes, _ := states[name].RecordFor(message); changes {
								apply(to, r)
							}
							if a, ok := states[name].Answer(message); ok {
								sent = append(sent, MarshalMessages([]migration.Message{a})...)
							}
						}
					}
				}
				continue
			}
			apply(n, r)
		}
		if v := migration.Audit(journals...); v != nil {
			t.Fatalf("seed %d: audit of the journals found %v", seed, v)
		}
	}
	if shifts < 1000 {
		t.Errorf("got %d shifts, want at least 1000", shifts)
	}
	t.Logf("%d shifts, finished %d of %d moves", shifts, finishedMoves, begunMoves)
}

func TestBounds(t *testing.T) {
	many := make([]migration.Message, MaxMessages+1)
	if n := len(MarshalMessages(many)); n != 2 {
		t.Errorf("MaxMessages+1 messages are encoded in %d packets, want 2", n)
	}
	tooMany, _ := proto.Marshal(&PacketProto{Messages: make([]*MessageProto, MaxMessages+1)})
	newer, _ := proto.Marshal(&PacketProto{MinVersion: Version + 1})
	for want, raw := range map[error][]byte{ErrTooLarge: tooMany, ErrUnsupportedVersion: newer, ErrCorrupt: MarshalMessages(many[:1])[0]} {
		if _, err := UnmarshalMessages(raw); !errors.Is(err, want) {
			t.Errorf("got error %v, want %v", err, want)
		}
	}
	if _, err := UnmarshalMessages(make([]byte, MaxPacketBytes+1)); !errors.Is(err, ErrTooLarge) {
		t.Error(err)
	}
}

// FuzzRead checks that decoded data is the same after it is encoded and decoded again, and that a valid state stays
// valid when decoded messages and records are applied to it.
func FuzzRead(f *testing.F) {
	offer := migration.Message{Type: migration.MessageOffer, ID: migration.ID{Key: migration.Key{From: "a", To: "b", Service: "s"}, Seq: 1}, Source: true, Amount: 5, Request: migration.DirectionRequest{Number: 1, Direction: migration.Forward}}
	destination, _ := migration.New("b").Apply(migration.Record{Step: migration.StepSetCapacity, Amount: 9})
	afterOffer, _ := destination.Apply(migration.Record{Step: migration.StepReceive, Message: offer})
	f.Add(MarshalMessages([]migration.Message{offer})[0])
	f.Add(MarshalRecord(migration.Record{Step: migration.StepReceive, Message: offer}))
	f.Add(MarshalState(afterOffer))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if list, err := UnmarshalMessages(raw); err == nil && len(list) > 0 {
			if again, err := UnmarshalMessages(MarshalMessages(list)[0]); err != nil || !reflect.DeepEqual(list, again) {
				t.Fatalf("messages %+v decode to %+v, %v after encoding", list, again, err)
			}
			for s, i := afterOffer, 0; i < len(list); i++ {
				s, _ = s.Apply(migration.Record{Step: migration.StepReceive, Message: list[i]})
				if !s.Valid() || s.Ledger().Free() < 0 {
					t.Fatalf("invalid state %+v after message %+v", s, list[i])
				}
			}
		}
		if r, err := UnmarshalRecord(raw); err == nil {
			if again, err := UnmarshalRecord(MarshalRecord(r)); err != nil || again != r {
				t.Fatalf("record %+v decodes to %+v, %v after encoding", r, again, err)
			}
			if s, _ := afterOffer.Apply(r); !s.Valid() {
				t.Fatalf("invalid state %+v after record %+v", s, r)
			}
		}
		if s, err := UnmarshalState(raw); err == nil {
			if again, err := UnmarshalState(MarshalState(s)); err != nil || !reflect.DeepEqual(s, again) {
				t.Fatalf("state %+v decodes to %+v, %v after encoding", s, again, err)
			}
			s.Ledger().ServedPPM()
		}
	})
}
