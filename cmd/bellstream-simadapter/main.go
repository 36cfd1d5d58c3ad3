// Command bellstream-simadapter runs the decision module behind the simulator's wire protocol: it reads lines
// of JSON with events from standard input and answers each with a line of JSON with actions on standard
// output.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
)

const (
	readBufferBytes  = 1 << 20
	writeBufferBytes = 1 << 16
)

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "bellstream-simadapter:", err)
		os.Exit(1)
	}
}

// serve answers each line of in with one line on out until in ends. It returns the first error, with the
// number of the line.
func serve(in io.Reader, out io.Writer) error {
	r := bufio.NewReaderSize(in, readBufferBytes)
	w := bufio.NewWriterSize(out, writeBufferBytes)
	a := newAdapter()
	for number := 1; ; number++ {
		line, readErr := r.ReadBytes('\n')
		if readErr != nil && !errors.Is(readErr, io.EOF) {
			return fmt.Errorf("line %d: %w", number, readErr)
		}
		if len(line) > 0 {
			if err := a.answerLine(line, w); err != nil {
				return fmt.Errorf("line %d: %w", number, err)
			}
		}
		if readErr != nil {
			return nil
		}
	}
}

// answerLine handles one line and writes its reply.
func (a *adapter) answerLine(line []byte, w *bufio.Writer) error {
	reply, err := a.handleBatch(line)
	if err != nil {
		return err
	}
	if _, err := w.Write(append(reply, '\n')); err != nil {
		return err
	}
	return w.Flush()
}
