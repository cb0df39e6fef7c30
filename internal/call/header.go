package call

import (
	"net/http"
	"strings"
)

// hopHeaders lists the headers that apply to one connection only (RFC 9110, section
// 7.6.1), and Content-Length, which is set again from the body.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// RemoveHopHeaders removes the headers that apply to one connection only, including
// those listed in Connection, and all headers that begin with Baobab-. The names in
// h must be in canonical form.
func RemoveHopHeaders(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
	for name := range h {
		if strings.HasPrefix(name, "Baobab-") {
			delete(h, name)
		}
	}
}
