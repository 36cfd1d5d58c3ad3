package service

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"example.org/bellstream/internal/control"
)

const controlTimeout = 5 * time.Second

// SendCommand sends the words as one command line to a control address and prints the answer. It returns an error if
// the command is invalid, if no answer arrives within controlTimeout, or if the answer is "fail REASON".
func SendCommand(out io.Writer, address string, words []string) error {
	line := strings.Join(words, " ")
	if _, err := control.Parse([]byte(line)); err != nil {
		return err
	}
	conn, err := net.DialTimeout("tcp", address, controlTimeout)
	if err != nil {
		return fmt.Errorf("control address: %w", err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(controlTimeout))
	_, _ = fmt.Fprintln(conn, line) // a failed write makes the read below fail
	answer, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil {
		return fmt.Errorf("control address %s: no answer: %w", address, err)
	}
	answer = strings.TrimSpace(answer)
	if reason, failed := strings.CutPrefix(answer, "fail "); failed {
		return errors.New(reason)
	}
	fmt.Fprintln(out, answer)
	return nil
}
