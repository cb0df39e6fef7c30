package httpserver

import "github.com/baobabstack/baobabstack/internal/defect"

// headScanner finds the end of a head in bytes that arrive in any pieces.
type headScanner struct {
	previous byte
	line     int // bytes of the current line so far
	size     int // bytes of the head so far
}

// scan reads up to the end of the head. It returns the number of bytes that
// belong to the head and whether the head is whole.
func (s *headScanner) scan(data []byte, maxHead int) (int, bool, *refusal) {
	for i, b := range data {
		if s.size++; s.size > maxHead {
			return 0, false, refuseHeadSize
		}
		if (b == '\n') != (s.previous == '\r') && !defect.On("guard-endings") {
			return 0, false, refuseEnding
		}
		s.previous = b
		switch {
		case b == '\n' && s.line == 0:
			*s = headScanner{}
			return i + 1, true, nil
		case b == '\n':
			s.line = 0
		case b != '\r':
			s.line++
		}
	}
	return len(data), false, nil
}

type chunkState int

const (
	chunkSize chunkState = iota
	chunkSizeEnd
	chunkData
	chunkDataCR
	chunkDataLF
	lastCR
	lastLF
)

const maxSizeDigits = 8

// chunkScanner checks a body in chunks that arrives in any pieces. Chunk
// extensions and trailers are refused.
type chunkScanner struct {
	state  chunkState
	digits int
	size   int // of the current chunk; bytes left of it in chunkData
	total  int // bytes of data in all chunks
}

// scan reads up to the end of the body, and passes the data of the chunks on. It returns the
// number of bytes that belong to the body and whether it is whole.
func (s *chunkScanner) scan(data []byte, maxBody int, pass func(data []byte) *refusal) (int, bool, *refusal) {
	for i := 0; i < len(data); {
		if s.state == chunkData {
			n := min(s.size, len(data)-i)
			if r := pass(data[i : i+n]); r != nil {
				return 0, false, r
			}
			i += n
			if s.size -= n; s.size == 0 {
				s.state = chunkDataCR
			}
			continue
		}
		if s.state == lastLF && data[i] == '\n' {
			*s = chunkScanner{}
			return i + 1, true, nil
		}
		if r := s.step(data[i], maxBody); r != nil {
			return 0, false, r
		}
		i++
	}
	return len(data), false, nil
}

func (s *chunkScanner) step(b byte, maxBody int) *refusal {
	switch {
	case s.state == chunkSize && isHex(b):
		return s.digit(b)
	case s.state == chunkSize && b == '\r' && s.digits > 0:
		s.state = chunkSizeEnd
	case s.state == chunkSizeEnd && b == '\n':
		return s.begin(maxBody)
	case s.state == chunkDataCR && b == '\r':
		s.state = chunkDataLF
	case s.state == chunkDataLF && b == '\n':
		s.state = chunkSize
	case s.state == lastCR && b == '\r':
		s.state = lastLF
	case s.state == lastCR:
		return refuseTrailer
	case !defect.On("guard-chunks"):
		return refuseChunk
	}
	return nil
}

func (s *chunkScanner) digit(b byte) *refusal {
	if s.digits++; s.digits > maxSizeDigits {
		return refuseChunk
	}
	s.size = s.size<<4 | hexValue(b)
	return nil
}

// begin starts the data of a chunk, or the end of the body.
func (s *chunkScanner) begin(maxBody int) *refusal {
	s.digits = 0
	if s.size == 0 {
		s.state = lastCR
		return nil
	}
	if s.total += s.size; s.total > maxBody {
		return refuseBodySize
	}
	s.state = chunkData
	return nil
}

func isHex(b byte) bool {
	return (b >= '0' && b <= '9') || (b|0x20 >= 'a' && b|0x20 <= 'f')
}

func hexValue(b byte) int {
	if b <= '9' {
		return int(b - '0')
	}
	return int(b|0x20-'a') + 10
}
