// Package httpwire reads HTTP/1.1 responses. It checks their bytes before net/http parses them,
// because net/http accepts heads that break RFC 9110 and RFC 9112.
package httpwire

import (
	"fmt"

	"github.com/pkg/errors"
)

// MalformedError says how a response breaks the protocol.
type MalformedError struct {
	// Reason names the violation, the line and the bytes before it.
	Reason string
}

// Error implements error.
func (e *MalformedError) Error() string { return "malformed response: " + e.Reason }

// IsMalformed reports whether err is or wraps a MalformedError.
func IsMalformed(err error) bool {
	var malformed *MalformedError
	return errors.As(err, &malformed)
}

// maxQuoted is the most of a line that is kept for errors.
const maxQuoted = 40

// state checks one byte and returns the next state; nil ends the check.
type state func(c *checker, b byte) (state, *MalformedError)

// checker checks the bytes of one response as they arrive, up to the end of its head.
type checker struct {
	begun bool
	next  state
	// line is the start of the current line, and length its length.
	line   [maxQuoted]byte
	length int
	// count is the number of bytes of the part of the line that is being checked.
	count  int
	status int
}

// check checks the next bytes of the response. It returns the number of bytes before the first
// violation. Bytes behind the checked part are accepted.
func (c *checker) check(data []byte) (valid int, malformed *MalformedError) {
	if !c.begun {
		c.begun, c.next = true, (*checker).version
	}
	for i, b := range data {
		if c.next == nil {
			return len(data), nil
		}
		if c.length < len(c.line) {
			c.line[c.length] = b
			c.length++
		}
		if c.next, malformed = c.next(c, b); malformed != nil {
			return i, malformed
		}
	}
	return len(data), nil
}

// fail returns an error that quotes the line up to the violation.
func (c *checker) fail(reason string) (state, *MalformedError) {
	return nil, &MalformedError{Reason: fmt.Sprintf("%s: %q", reason, c.line[:c.length])}
}

const versionStart = "HTTP/1."

// version checks the version in the status line, which ends with a minor version and a space.
func (c *checker) version(b byte) (state, *MalformedError) {
	c.count++
	switch n := c.count - 1; {
	case n < len(versionStart) && b == versionStart[n], n == len(versionStart) && isDigit(b):
		return (*checker).version, nil
	case n > len(versionStart) && b == ' ':
		c.count = 0
		return (*checker).statusCode, nil
	default:
		return c.fail("the version is not HTTP/1.x")
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
		return c.fail("the status code has no three digits")
	}
	c.status = 10*c.status + int(b-'0')
	if c.count++; c.count < digits {
		return (*checker).statusCode, nil
	}
	if c.status < minStatus || c.status > maxStatus {
		return c.fail("the status code is not from 100 to 599")
	}
	return (*checker).statusEnd, nil
}

// statusEnd checks the byte behind the status code. The space before an absent reason is optional.
func (c *checker) statusEnd(b byte) (state, *MalformedError) {
	switch b {
	case ' ':
		return (*checker).reason, nil
	case '\r':
		return (*checker).lineFeed, nil
	default:
		return c.fail("the status code has no three digits")
	}
}

// reason checks the reason in the status line.

func (c *checker) reason(b byte) (state, *MalformedError) {
	switch {
	case b == '\r':
		return (*checker).lineFeed, nil
	case isControl(b):
		return c.fail("control byte in the status line")
	default:
		return (*checker).reason, nil
	}
}

// lineFeed ends a line of the head. RFC 9112 also allows to read LF alone as its end, but then a
// name that begins with LF ends the head.
func (c *checker) lineFeed(b byte) (state, *MalformedError) {
	if b != '\n' {
		return c.fail("CR without LF")
	}
	c.length, c.count = 0, 0
	return (*checker).fieldStart, nil
}

// fieldStart checks the first byte of a field line, or of the empty line that ends the head. RFC
// 9112 lets a gateway reject folded lines. One that is not meant as such is a field whose name
// begins with a blank.
func (c *checker) fieldStart(b byte) (state, *MalformedError) {
	switch b {
	case '\r':
		return (*checker).headEnd, nil
	case ' ', '\t':
		return c.fail("blank at the start of a field line")
	default:
		return c.fieldName(b)
	}
}

func (c *checker) fieldName(b byte) (state, *MalformedError) {
	switch {
	case b == ':' && c.count > 0:
		return (*checker).fieldValue, nil
	case isTokenByte(b):
		c.count++
		return (*checker).fieldName, nil
	default:
		return c.fail("the name of a field is no token")
	}
}

func (c *checker) fieldValue(b byte) (state, *MalformedError) {
	switch {
	case b == '\r':
		return (*checker).lineFeed, nil
	case isControl(b):
		return c.fail("control byte in the value of a field")
	default:
		return (*checker).fieldValue, nil
	}
}

func (c *checker) headEnd(b byte) (state, *MalformedError) {
	if b != '\n' {
		return c.fail("CR without LF")
	}
	return nil, nil
}

func isDigit(b byte) bool { return b >= '0' && b <= '9' }

// isControl reports whether a byte is not allowed in the value of a field or in a reason.
func isControl(b byte) bool { return b < ' ' && b != '\t' || b == 0x7f }
