package peerconn

import (
	"bytes"
	"errors"
	"io"
	"maps"
	"net"
	"testing"
	"time"
)

func frameOf(body []byte) []byte {
	frame := append(make([]byte, HeaderLen), body...)
	SealFrame(frame)
	return frame
}

func readFrame(r io.Reader) ([]byte, error) {
	header, err := ReadHeader(r)
	if err != nil {
		return nil, err
	}
	return header.ReadBody(r)
}

func TestFrames(t *testing.T) {
	for _, size := range []int{0, 1, firstReadBytes, firstReadBytes + 1, 5*firstReadBytes + 3} {
		body := bytes.Repeat([]byte{7}, size)
		frame := frameOf(body)
		got, err := readFrame(bytes.NewReader(frame))
		if err != nil || !bytes.Equal(got, body) {
			t.Errorf("body of %d bytes: got %d bytes, error %v", size, len(got), err)
		}
		if size == 0 {
			continue
		}
		if _, err := readFrame(bytes.NewReader(frame[:len(frame)-1])); !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("body of %d bytes, the last missing: got error %v", size, err)
		}
		frame[len(frame)-1] ^= 1
		if _, err := readFrame(bytes.NewReader(frame)); !errors.Is(err, ErrChecksum) {
			t.Errorf("body of %d bytes, the last changed: got error %v", size, err)
		}
	}
	if _, err := readFrame(bytes.NewReader(nil)); !errors.Is(err, io.EOF) {
		t.Errorf("empty stream: got error %v, want EOF", err)
	}
}

func TestOutboxBounds(t *testing.T) {
	byFrames := NewOutbox(2, 100)
	for i, want := range []bool{true, true, false} {
		if byFrames.Push([]byte{1}) != want {
			t.Errorf("wrong result for frame %d in an outbox of 2 frames", i)
		}
	}
	byBytes := NewOutbox(10, 4)
	for i, want := range []bool{true, false} {
		if byBytes.Push([]byte{1, 2, 3}) != want {
			t.Errorf("wrong result for frame %d in an outbox of 4 bytes", i)
		}
	}
	byBytes.Clear()
	if !byBytes.Push([]byte{1, 2, 3, 4}) {
		t.Error("a frame of the maximum size does not fit after Clear")
	}
}

func TestWriteLoop(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	outbox := NewOutbox(4, 100)
	done := make(chan struct{})
	ended := make(chan struct{})
	sent := 0
	go func() {
		defer close(ended)
		defer near.Close()
		WriteLoop{
			Conn:        near,
			IdleTimeout: 300 * time.Millisecond,
			Ping:        []byte("p"),
			Done:        done,
			Sent:        func(bytes int) { sent += bytes },
		}.Run(outbox)
	}()
	outbox.Push([]byte("ab"))
	outbox.Push([]byte("c"))
	got := make([]byte, 4)
	if _, err := io.ReadFull(far, got); err != nil || string(got) != "abcp" {
		t.Errorf("got %q, want both frames and a ping; error %v", got, err)
	}
	close(done)
	<-ended
	if sent < 4 {
		t.Errorf("Sent counted %d bytes, want at least 4", sent)
	}
}

func TestDropCounters(t *testing.T) {
	var d DropCounters
	if d.Snapshot() != nil {
		t.Error("Snapshot of unused counters is not nil")
	}
	d.Add("a")
	d.Add("a")
	d.Add("b")
	if got := d.Snapshot(); !maps.Equal(got, map[string]uint64{"a": 2, "b": 1}) {
		t.Error(got)
	}
}

func TestDialer(t *testing.T) {
	if d := Dialer(net.IPv4zero); d.LocalAddr != nil {
		t.Error(d.LocalAddr)
	}
	if d := Dialer(net.IPv4(127, 0, 0, 2)); d.LocalAddr.String() != "127.0.0.2:0" {
		t.Error(d.LocalAddr)
	}
}
