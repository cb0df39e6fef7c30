// Package httpwire reads HTTP/1.1 responses. It checks their bytes before net/http parses them,
// because net/http accepts responses that break RFC 9110 and RFC 9112.
package httpwire

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"

	"github.com/pkg/errors"
)

// MalformedError says how a response breaks the protocol.
type MalformedError struct {
	// Reason names the violation and quotes the start of its line.
	Reason string
}

// Error implements error.
func (e *MalformedError) Error() string { return "malformed response: " + e.Reason }

// IsMalformed reports whether err is or wraps a MalformedError.
func IsMalformed(err error) bool {
	var malformed *MalformedError
	return errors.As(err, &malformed)
}

// maxQuoted is the most of a line that errors quote, in bytes.
const maxQuoted = 40

// state checks one byte and returns the next state; nil ends the check.
type state func(c *checker, b byte) (state, *MalformedError)

// checker checks the bytes of one response as they arrive: its head, and the chunks and trailers
// of its body.
type checker struct {
	// method is the method of the request, empty for GET.
	method string
	// finalOnly says that the check continues after an interim response, up to the end of the
	// final one.
	finalOnly bool
	begun     bool
	next      state
	// line is the start of the current line, and length its length.
	line   [maxQuoted]byte
	length int
	// count is the number of bytes of the part of the line that is being checked.
	count  int
	minor  byte // the minor version
	status int
	// chunked says that the body comes in chunks, and trailers that its last chunk has ended.
	chunked, trailers bool
	// chunkSize is the size of the current chunk, and chunkLeft what is left of its data.
	chunkSize, chunkLeft uint64
}

// check checks the next bytes of the response. It returns the number of bytes before the first
// violation. Bytes after the checked part are accepted.
func (c *checker) check(data []byte) (valid int, malformed *MalformedError) {
	if !c.begun {
		c.begun, c.next = true, (*checker).version
	}
	for i := 0; i < len(data) && c.next != nil; {
		if c.chunkLeft > 0 {
			n := min(c.chunkLeft, uint64(len(data)-i))
			c.chunkLeft -= n
			i += int(n) //nolint:gosec // at most len(data)
			continue
		}
		if c.length < len(c.line) {
			c.line[c.length] = data[i]
			c.length++
		}
		if c.next, malformed = c.next(c, data[i]); malformed != nil {
			return i, malformed
		}
		i++
	}
	return len(data), nil
}

// done reports whether the checked part of the response has ended.
func (c *checker) done() bool { return c.begun && c.next == nil }

// beginLine begins a line of the head, of the framing of a chunk or of the trailers.
func (c *checker) beginLine() { c.length, c.count = 0, 0 }

// fail returns an error that quotes the start of the line, up to the violation at most.
func (c *checker) fail(reason string) (state, *MalformedError) {
	return nil, &MalformedError{Reason: fmt.Sprintf("%s: %q", reason, c.line[:c.length])}
}

const versionStart = "HTTP/1."

// version checks the version in the status line, which ends with a minor version and a space.
func (c *checker) version(b byte) (state, *MalformedError) {
	c.count++
	switch n := c.count - 1; {
	case n < len(versionStart) && b == versionStart[n]:
		return (*checker).version, nil
	case n == len(versionStart) && isDigit(b):
		c.minor = b
		return (*checker).version, nil
	case n > len(versionStart) && b == ' ':
		c.count = 0
		return (*checker).statusCode, nil
	default:
		return c.fail("version is not HTTP/1.x")
	}
}

// The bounds of status codes (RFC 9110, section 15).
const (
	minStatus = 100
	maxStatus = 599
)

// statusCode checks the three digits of the status code.
func (c *checker) statusCode(b byte) (state, *MalformedError) {
	const digits = 3
	if !isDigit(b) {
		return c.fail("status code is not three digits")
	}
	c.status = 10*c.status + int(b-'0')
	if c.count++; c.count < digits {
		return (*checker).statusCode, nil
	}
	if c.status < minStatus || c.status > maxStatus {
		return c.fail("status code is not from 100 to 599")
	}
	return (*checker).statusEnd, nil
}

// statusEnd checks the byte after the status code. The space before an absent reason is optional.
func (c *checker) statusEnd(b byte) (state, *MalformedError) {
	switch b {
	case ' ':
		return (*checker).reason, nil
	case '\r':
		return (*checker).lineFeed, nil
	default:
		return c.fail("status code is not three digits")
	}
}

// reason checks the reason phrase in the status line.
func (c *checker) reason(b byte) (state, *MalformedError) {
	switch {
	case b == '\r':
		return (*checker).lineFeed, nil
	case isControl(b):
		return c.fail("control character in the status line")
	default:
		return (*checker).reason, nil
	}
}

// lineFeed ends a line of the head or of the trailers. RFC 9112 lets a recipient take LF alone for
// the end of a line, but then a name that begins with LF would end the head.
func (c *checker) lineFeed(b byte) (state, *MalformedError) {
	if b != '\n' {
		return c.fail("CR without LF")
	}
	c.beginLine()
	return (*checker).fieldStart, nil
}

// fieldStart checks the first byte of a field line, or of the empty line after the fields. Folded
// lines are rejected, as RFC 9112, section 5.2, allows: they can't be told from a field name with
// whitespace before it.
func (c *checker) fieldStart(b byte) (state, *MalformedError) {
	switch b {
	case '\r':
		return (*checker).fieldsEnd, nil
	case ' ', '\t':
		return c.fail("whitespace before a field name")
	default:
		return c.fieldName(b)
	}
}

func (c *checker) fieldName(b byte) (state, *MalformedError) {
	switch {
	case b == ':' && c.count > 0:
		c.noteField(c.line[:c.length-1])
		return (*checker).fieldValue, nil
	case isTokenByte(b):
		c.count++
		return (*checker).fieldName, nil
	default:
		return c.fail("invalid field name")
	}
}

func (c *checker) fieldValue(b byte) (state, *MalformedError) {
	switch {
	case b == '\r':
		return (*checker).lineFeed, nil
	case isControl(b):
		return c.fail("control character in a field value")
	default:
		return (*checker).fieldValue, nil
	}
}

// noteField records whether the body is chunked. The parser rejects other transfer codings.
func (c *checker) noteField(name []byte) {
	if !c.trailers && bytes.EqualFold(name, []byte("Transfer-Encoding")) {
		c.chunked = true
	}
}

// fieldsEnd ends the head or the trailers.
func (c *checker) fieldsEnd(b byte) (state, *MalformedError) {
	switch {
	case b != '\n':
		return c.fail("CR without LF")
	case c.finalOnly && c.isInterim():
		*c = checker{method: c.method, finalOnly: true, begun: true}
		return (*checker).version, nil
	case c.trailers, !c.chunked, !c.hasBody():
		return nil, nil
	case c.minor == '0': // faulty framing by RFC 9112, section 6.1
		return c.fail("Transfer-Encoding in HTTP/1.0")
	default:
		c.beginLine()
		return (*checker).chunkHead, nil
	}
}

// isInterim reports whether another response follows the head (RFC 9110, section 15.2).
func (c *checker) isInterim() bool {
	return c.status < http.StatusOK && c.status != http.StatusSwitchingProtocols
}

// hasBody reports whether the head's fields frame a body (RFC 9112, section 6.3).
func (c *checker) hasBody() bool {
	return c.method != http.MethodHead && c.status >= http.StatusOK && c.status != http.StatusNoContent && c.status != http.StatusNotModified
}

// chunkHead checks the size of a chunk.
func (c *checker) chunkHead(b byte) (state, *MalformedError) {
	const maxDigits = 16
	digit := strings.IndexByte("0123456789abcdef", b|0x20) // of either case
	switch {
	case b >= '0' && digit >= 0 && c.count < maxDigits:
		c.count++
		c.chunkSize = c.chunkSize<<4 | uint64(digit)
		return (*checker).chunkHead, nil
	case c.count == 0 || digit >= 0:
		return c.fail("invalid chunk size")
	default:
		return c.chunkExtension(b)
	}
}

// chunkExtension checks what follows a chunk size on its line.
func (c *checker) chunkExtension(b byte) (state, *MalformedError) {
	switch {
	case b == '\r':
		return (*checker).chunkHeadEnd, nil
	case isControl(b):
		return c.fail("control character in a chunk extension")
	default:
		return (*checker).chunkExtension, nil
	}
}

// chunkHeadEnd ends the line before the data of a chunk, or before the trailers.
func (c *checker) chunkHeadEnd(b byte) (state, *MalformedError) {
	if b != '\n' {
		return c.fail("CR without LF")
	}
	c.beginLine()
	if c.chunkSize == 0 {
		c.trailers = true
		return (*checker).fieldStart, nil
	}
	c.chunkLeft, c.chunkSize = c.chunkSize, 0
	return (*checker).chunkDataEnd, nil
}

// chunkDataEnd checks the line end behind the data of a chunk.
func (c *checker) chunkDataEnd(b byte) (state, *MalformedError) {
	if b != "\r\n"[c.count] {
		return c.fail("chunk data is longer than the chunk size")
	}
	if c.count++; c.count == 1 {
		return (*checker).chunkDataEnd, nil
	}
	c.beginLine()
	return (*checker).chunkHead, nil
}

func isDigit(b byte) bool { return b >= '0' && b <= '9' }

// isControl reports whether a byte is a control character that field values and reason phrases must
// not hold.
func isControl(b byte) bool { return b < ' ' && b != '\t' || b == 0x7f }
