package endpoints

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// Maximum times after which a watch without further updates, and a call without a complete list, have ended.
const (
	maxStalledWatch = 2700 * time.Millisecond
	maxStalledCall  = 3100 * time.Millisecond
)

const chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

func chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

// writeRepeatedly writes part at an interval until the connection is closed.
func writeRepeatedly(c net.Conn, every time.Duration, part string) {
	for {
		if _, err := io.WriteString(c, part); err != nil {
			return
		}
		time.Sleep(every)
	}
}

// watchOverPipe runs a watch over a pipe, on whose other end play acts as discovery. It returns when and why the watch
// ended.
func watchOverPipe(play func(c net.Conn), each func(*Update)) (ended time.Time, err error) {
	here, there := net.Pipe()
	var peer sync.WaitGroup
	peer.Go(func() {
		defer there.Close()
		if _, err := http.ReadRequest(bufio.NewReader(there)); err == nil {
			play(there)
		}
	})
	defer peer.Wait()
	dial := func(context.Context, string, string) (net.Conn, error) { return here, nil }
	err = WatchOver(context.Background(), dial, "discovery", 40, each)
	return time.Now(), err
}

// stalls are the ways in which discovery may stop sending complete updates, with or without sending more bytes.
var stalls = map[string]func(c net.Conn, every time.Duration){
	"nothing":        func(c net.Conn, _ time.Duration) { io.Copy(io.Discard, c) },
	"half an update": func(c net.Conn, _ time.Duration) { io.WriteString(c, chunk(changeList[:40])); io.Copy(io.Discard, c) },
	"half, then blank": func(c net.Conn, every time.Duration) {
		io.WriteString(c, chunk(changeList[:40]))
		writeRepeatedly(c, every, chunk("\n"))
	},
	"an endless name": func(c net.Conn, every time.Duration) {
		io.WriteString(c, chunk(`{"seq":"`))
		writeRepeatedly(c, every, chunk("x"))
	},
	"endless hosts": func(c net.Conn, every time.Duration) {
		io.WriteString(c, chunk(`{"seq":42,"hosts":[{}`))
		writeRepeatedly(c, every, chunk(",{}"))
	},
	"an endless chunk size": func(c net.Conn, every time.Duration) { writeRepeatedly(c, every, "0") },
}

// A watch without further complete updates or blank lines ends within maxStalledWatch of the last one, whatever bytes it
// receives.
func TestStalledWatchEndsInTime(t *testing.T) {
	for name, stall := range stalls {
		for seed := range uint64(8) {
			synctest.Test(t, func(t *testing.T) {
				r := rand.New(rand.NewPCG(seed, 0))
				every := 20*time.Millisecond + time.Duration(r.Float64()*float64(2*time.Second))
				var from time.Time
				updates := 0
				ended, err := watchOverPipe(func(c net.Conn) {
					time.Sleep(time.Duration(r.Float64() * float64(firstListTimeout)))
					io.WriteString(c, chunkedHead+chunk(completeList+"\n"))
					for range r.IntN(4) {
						time.Sleep(2 * time.Second)
						io.WriteString(c, chunk([]string{"\n", changeList + "\n"}[r.IntN(2)]))
					}
					from = time.Now()
					stall(c, every)
				}, func(*Update) { updates++ })
				if took := ended.Sub(from); took > maxStalledWatch || updates == 0 {
					t.Errorf("%s, a part every %v: ended %v after the last update or blank line with %v, want at most %v", name, every, took, err, maxStalledWatch)
				}
			})
		}
	}
}

// A call that receives no complete list ends within maxStalledCall, so that there is time for another call.
func TestStalledCallEndsInTime(t *testing.T) {
	starts := map[string]string{"no answer": "", "a head without end": "HTTP/1.1 200 OK\r\n", "no list": chunkedHead, "half a list": chunkedHead + chunk(completeList[:50])}
	for name, start := range starts {
		for part, text := range map[string]string{"nothing": "", "a header": "A: b\r\n", "blanks": chunk("\n"), "a letter": chunk("x"), "hosts": chunk(`{},`)} {
			for _, every := range []time.Duration{50 * time.Millisecond, time.Second, 1900 * time.Millisecond} {
				synctest.Test(t, func(t *testing.T) {
					from := time.Now()
					ended, err := watchOverPipe(func(c net.Conn) {
						io.WriteString(c, start)
						if text == "" {
							io.Copy(io.Discard, c)
						}
						writeRepeatedly(c, every, text)
					}, func(*Update) {})
					if took := ended.Sub(from); took > maxStalledCall {
						t.Errorf("%s, then %s every %v: ended after %v with %v, want at most %v", name, part, every, took, err, maxStalledCall)
					}
				})
			}
		}
	}
}

// A dial hangs while the link to discovery is broken. It has a shorter time-out than a call, so that the next dial
// follows soon after the link is restored.
func TestHangingDialEndsInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		from := time.Now()
		err := WatchOver(context.Background(), func(ctx context.Context, _, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}, "discovery", 0, func(*Update) {})
		if took := time.Since(from); took > dialTimeout || !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("ended after %v with %v, want a time-out of the dial", took, err)
		}
	})
}

// A live watch does not time out: if discovery is late by up to half a second, if the first list takes almost
// firstListTimeout, with many consecutive updates, or if this process itself is suspended.
func TestLiveWatchIsKept(t *testing.T) {
	for seed := range uint64(10) {
		synctest.Test(t, func(t *testing.T) {
			r, readerRand := rand.New(rand.NewPCG(seed, 1)), rand.New(rand.NewPCG(seed, 2))
			updates, want := 0, 1
			_, err := watchOverPipe(func(c net.Conn) {
				time.Sleep(firstListTimeout - time.Millisecond)
				io.WriteString(c, chunkedHead+chunk(completeList+"\n"))
				for range 200 {
					time.Sleep(2*time.Second + time.Duration(r.Float64()*float64(500*time.Millisecond)))
					switch r.IntN(4) {
					case 0:
						io.WriteString(c, chunk(changeList+"\n"))
						want++
					case 1: // two updates, the second one divided
						cut := r.IntN(len(changeList))
						io.WriteString(c, chunk(changeList+"\n"+changeList[:cut]))
						time.Sleep(2 * time.Second)
						io.WriteString(c, chunk(changeList[cut:]+"\n"))
						want += 2
					default:
						io.WriteString(c, chunk("\n"))
					}
				}
			}, func(*Update) {
				if updates++; readerRand.IntN(10) == 0 {
					time.Sleep(10 * time.Second)
				}
			})
			if updates != want || !strings.Contains(fmt.Sprint(err), "EOF") {
				t.Errorf("seed %d: got %d updates of %d, then error %v", seed, updates, want, err)
			}
		})
	}
}
