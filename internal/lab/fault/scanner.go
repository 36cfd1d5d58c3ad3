package fault

import (
	"bytes"
	"strconv"
	"strings"
)

// scanState is the state of a scanner.
type scanState int

const (
	inHead scanState = iota
	inBody
	inChunkSize
	inChunkData
	afterChunkData
	inTrailer
	unparsable
)

// maxLineBytes bounds a line, which the scanner buffers.
const maxLineBytes = 16 << 10

// scanner parses one direction of an HTTP/1.1 connection and counts the points
// that it has reached. After a syntax error it stops counting.
type scanner struct {
	state      scanState
	line       []byte
	remaining  int64 // bytes left of the body or of the chunk's data
	chunked    bool
	heads      int
	messages   int
	chunks     int
	chunksData int
}

// step processes one byte.
func (s *scanner) step(b byte) {
	switch s.state {
	case unparsable:
	case inBody:
		s.remaining--
		if s.remaining == 0 {
			s.endMessage()
		}
	case inChunkData:
		s.remaining--
		if s.remaining == 0 {
			s.state = afterChunkData
		}
	default:
		s.stepLine(b)
	}
}

// stepLine processes one byte of a line.
func (s *scanner) stepLine(b byte) {
	s.line = append(s.line, b)
	if b == '\n' {
		s.endLine(bytes.TrimRight(s.line, "\r\n"))
		s.line = s.line[:0]
		return
	}
	if len(s.line) > maxLineBytes {
		s.state = unparsable
	}
}

// endLine processes a complete line.
func (s *scanner) endLine(line []byte) {
	switch s.state {
	case inHead:
		if len(line) > 0 {
			s.header(line)
		} else {
			s.endHead()
		}
	case inChunkSize:
		s.chunkSize(line)
	case afterChunkData:
		s.beginChunk()
	case inTrailer:
		if len(line) == 0 {
			s.endMessage()
		}
	}
}

// header processes a line of a message's head.
func (s *scanner) header(line []byte) {
	name, value, _ := strings.Cut(string(line), ":")
	value = strings.TrimSpace(value)
	switch strings.ToLower(name) {
	case "content-length":
		length, err := strconv.ParseInt(value, 10, 64)
		if err != nil || length < 0 {
			s.state = unparsable
			return
		}
		s.remaining = length
	case "transfer-encoding":
		s.chunked = strings.EqualFold(value, "chunked")
	}
}

func (s *scanner) endHead() {
	s.heads++
	switch {
	case s.chunked:
		s.beginChunk()
	case s.remaining > 0:
		s.state = inBody
	default:
		s.endMessage()
	}
}

// chunkSize processes the line with a chunk's size.
func (s *scanner) chunkSize(line []byte) {
	text, _, _ := strings.Cut(string(line), ";")
	size, err := strconv.ParseInt(strings.TrimSpace(text), 16, 64)
	switch {
	case err != nil || size < 0:
		s.state = unparsable
	case size == 0:
		s.state = inTrailer
	default:
		s.state = inChunkData
		s.remaining = size
		s.chunksData++
	}
}

// beginChunk makes the scanner expect the size of the next chunk.
func (s *scanner) beginChunk() {
	s.state = inChunkSize
	s.chunks++
}

func (s *scanner) endMessage() {
	s.state = inHead
	s.remaining = 0
	s.chunked = false
	s.messages++
}

// reached returns how many points of a kind have been reached.
func (s *scanner) reached(point string) int {
	switch point {
	case Head:
		return s.heads
	case Message:
		return s.messages
	case Chunk:
		return s.chunks
	case Data:
		return s.chunksData
	}
	return 0
}
