package httpserver

import (
	"bytes"
	"net/http"
	"strconv"

	"github.com/baobabstack/baobabstack/internal/call"
	"github.com/baobabstack/baobabstack/internal/defect"
	"github.com/baobabstack/baobabstack/internal/httpwire"
)

// refusal is the answer to a request that is not accepted.
type refusal struct {
	status int
	reason string
}

// label returns the reason in metrics and logs, which tell two reasons apart that are the same
// to callers.
func (r *refusal) label() string {
	if r == refuseStalled {
		return "memory-stalled"
	}
	return r.reason
}

// framing is what a request's head says about the bytes that follow it.
type framing struct {
	// length is the Content-Length; 0 without one.
	length int
	// chunked says that the body is sent in chunks.
	chunked bool
	// expectContinue says that the caller waits for a 100 before the body.
	expectContinue bool
	// close says that the connection ends after the answer.
	close bool
	// ticket says that the request carries a ticket.
	ticket bool
}

var (
	refuseLine      = &refusal{http.StatusBadRequest, "bad-request-line"}
	refuseMethod    = &refusal{http.StatusNotImplemented, "unknown-method"}
	refuseTarget    = &refusal{http.StatusBadRequest, "bad-target"}
	refuseVersion   = &refusal{http.StatusHTTPVersionNotSupported, "bad-version"}
	refuseHeader    = &refusal{http.StatusBadRequest, "bad-header"}
	refuseFolding   = &refusal{http.StatusBadRequest, "folded-header"}
	refuseRepeated  = &refusal{http.StatusBadRequest, "repeated-header"}
	refuseHost      = &refusal{http.StatusBadRequest, "bad-host"}
	refuseLength    = &refusal{http.StatusBadRequest, "bad-length"}
	refuseCoding    = &refusal{http.StatusNotImplemented, "unknown-transfer-coding"}
	refuseAmbiguous = &refusal{http.StatusBadRequest, "ambiguous-length"}
	refuseTrailer   = &refusal{http.StatusBadRequest, "trailers-not-accepted"}
	refuseExpect    = &refusal{http.StatusExpectationFailed, "unknown-expectation"}
	refuseTooMany   = &refusal{http.StatusRequestHeaderFieldsTooLarge, "too-many-headers"}
	refuseHeadSize  = &refusal{http.StatusRequestHeaderFieldsTooLarge, "head-too-large"}
	refuseBodySize  = &refusal{http.StatusRequestEntityTooLarge, "body-too-large"}
	refuseEnding    = &refusal{http.StatusBadRequest, "bad-line-ending"}
	refuseChunk     = &refusal{http.StatusBadRequest, "bad-chunk"}
	refuseMalformed = &refusal{http.StatusBadRequest, "malformed"}
	refuseSlow      = &refusal{http.StatusRequestTimeout, "request-too-slow"}
	refusePipeline  = &refusal{http.StatusServiceUnavailable, "pipeline-full"}
	refuseStopping  = &refusal{http.StatusServiceUnavailable, "stopping"} // another listener can take it at once
	refuseMemory    = &refusal{http.StatusServiceUnavailable, "memory"}
	// refuseStalled makes room for a request that makes more progress.
	refuseStalled = &refusal{http.StatusServiceUnavailable, "memory"}
	// refuseCrowded makes room for another connection.
	refuseCrowded = &refusal{http.StatusServiceUnavailable, "connections-full"}
)

var crlf = []byte("\r\n")

// headChecker checks a whole head, from the request line to the empty line. It
// accepts a subset of RFC 9112: what two recipients could read in two ways is
// refused.
type headChecker struct {
	maxBody    int
	maxHeaders int

	framing   framing
	version10 bool
	hosts     int
	lengths   int
	codings   int
	trailer   bool
	single    map[string]bool
}

// checkHead returns how the request is framed, or why it is refused.
func checkHead(head []byte, maxBody, maxHeaders int) (framing, *refusal) {
	c := headChecker{maxBody: maxBody, maxHeaders: maxHeaders}
	line, rest, _ := bytes.Cut(head, crlf)
	if r := c.requestLine(line); r != nil {
		return framing{}, r
	}
	for count := 0; ; count++ {
		line, rest, _ = bytes.Cut(rest, crlf)
		if len(line) == 0 {
			break
		}
		if count == c.maxHeaders {
			return framing{}, refuseTooMany
		}
		if r := c.headerLine(line); r != nil {
			return framing{}, r
		}
	}
	return c.framing, c.finish()
}

func (c *headChecker) requestLine(line []byte) *refusal {
	method, rest, ok := bytes.Cut(line, []byte(" "))
	if !ok {
		return refuseLine
	}
	target, version, ok := bytes.Cut(rest, []byte(" "))
	if !ok {
		return refuseLine
	}
	if !httpwire.IsToken(method) {
		return refuseLine
	}
	if !knownMethod(method) {
		return refuseMethod
	}
	if !plainTarget(target) {
		return refuseTarget
	}
	switch string(version) {
	case "HTTP/1.1":
	case "HTTP/1.0":
		c.version10, c.framing.close = true, true
	default:
		return refuseVersion
	}
	return nil
}

// knownMethod reports whether the parser behind the guard knows the method.
// CONNECT is not served: an entry is no tunnel.
func knownMethod(method []byte) bool {
	switch string(method) {
	case http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete, http.MethodOptions:
		return true
	default:
		return false
	}
}

// plainTarget reports whether a target is in origin form.
func plainTarget(target []byte) bool {
	if len(target) == 0 || target[0] != '/' {
		return false
	}
	for _, b := range target {
		if b <= ' ' || b >= 0x7f || b == '#' {
			return false
		}
	}
	return true
}

func (c *headChecker) headerLine(line []byte) *refusal {
	if line[0] == ' ' || line[0] == '\t' {
		return refuseFolding
	}
	name, value, ok := bytes.Cut(line, []byte(":"))
	if defect.On("guard-header") {
		return nil
	}
	if !ok || !httpwire.IsToken(name) {
		return refuseHeader
	}
	for _, b := range value {
		if (b < ' ' && b != '\t') || b == 0x7f {
			return refuseHeader
		}
	}
	return c.header(name, bytes.Trim(value, " \t"), value)
}

func (c *headChecker) header(name, value, raw []byte) *refusal {
	switch {
	case is(name, "Host"):
		c.hosts++
		if !validHost(value) {
			return refuseHost
		}
	case is(name, "Content-Length"):
		c.lengths++
		return c.contentLength(value, raw)
	case is(name, "Transfer-Encoding"):
		c.codings++
		if !is(value, "chunked") || bytes.IndexByte(raw, '\t') >= 0 {
			return refuseCoding
		}
		c.framing.chunked = true
	case is(name, "Trailer"):
		c.trailer = true
	case is(name, "Expect"):
		if !is(value, "100-continue") {
			return refuseExpect
		}
		c.framing.expectContinue = !c.version10
	case is(name, "Connection"):
		c.connection(value)
	case is(name, "Authorization"), hasPrefixFold(name, "Baobab-"):
		return c.once(name)
	}
	return nil
}

func (c *headChecker) contentLength(value, raw []byte) *refusal {
	if bytes.IndexByte(raw, '\t') >= 0 || len(value) == 0 {
		return refuseLength
	}
	for _, b := range value {
		if b < '0' || b > '9' {
			return refuseLength
		}
	}
	length, err := strconv.Atoi(string(value))
	if err != nil || length > c.maxBody {
		return refuseBodySize
	}
	c.framing.length = length
	return nil
}

func (c *headChecker) connection(value []byte) {
	for option := range bytes.SplitSeq(value, []byte(",")) {
		if is(bytes.Trim(option, " \t"), "close") {
			c.framing.close = true
		}
	}
}

// once refuses the second header of a name of which the first would be read
// and the second ignored.
func (c *headChecker) once(name []byte) *refusal {
	key := http.CanonicalHeaderKey(string(name))
	c.framing.ticket = c.framing.ticket || key == call.HeaderTicket
	if c.single[key] {
		return refuseRepeated
	}
	if c.single == nil {
		c.single = make(map[string]bool)
	}
	c.single[key] = true
	return nil
}

// finish checks what only the whole head shows.
func (c *headChecker) finish() *refusal {
	if defect.On("guard-framing") {
		return nil
	}
	switch {
	case c.hosts > 1 || (c.hosts == 0 && !c.version10):
		return refuseHost
	case c.lengths > 1:
		return refuseLength
	case c.codings > 1:
		return refuseCoding
	case c.lengths > 0 && c.codings > 0:
		return refuseAmbiguous
	case c.version10 && c.codings > 0:
		return refuseAmbiguous
	case c.trailer && c.framing.chunked:
		return refuseTrailer
	default:
		return nil
	}
}

func validHost(value []byte) bool {
	for _, b := range value {
		if b <= ' ' || b >= 0x7f || bytes.IndexByte([]byte("/?#@\\\"<>^`{|}"), b) >= 0 {
			return false
		}
	}
	return true
}

func is(name []byte, want string) bool {
	return len(name) == len(want) && bytes.EqualFold(name, []byte(want))
}

func hasPrefixFold(name []byte, prefix string) bool {
	return len(name) >= len(prefix) && is(name[:len(prefix)], prefix)
}
