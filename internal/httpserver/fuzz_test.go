package httpserver

import (
	"bufio"
	"bytes"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// FuzzHead checks that the guard accepts no head that net/http refuses or
// frames in another way, and that the pieces in which a head arrives don't
// matter.
func FuzzHead(f *testing.F) {
	for _, test := range badRequests {
		f.Add([]byte(test.bytes), 7)
	}
	f.Add([]byte("GET /a?b=c HTTP/1.1\r\nHost: a\r\nX: \x80\r\n\r\n"), 1)
	f.Add([]byte("POST /a HTTP/1.1\r\nhost: [::1]:80\r\ncontent-length: 007\r\nconnection: a, Close\r\n\r\n0123456"), 30)
	f.Add([]byte("POST /a HTTP/1.0\r\nTransfer-encoding: chunked\r\n\r\n"), 3)
	f.Fuzz(func(t *testing.T, data []byte, cut int) {
		var whole headScanner
		n, done, refused := whole.scan(data, MaxHeadBytes)
		checkPieces(t, data, cut, n, done, refused)
		if refused != nil || !done {
			return
		}
		head := data[:n]
		framing, refused := checkHead(head, testBody, maxHeaders)
		if refused != nil {
			return
		}
		req, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
		if err != nil {
			// The parser behind the guard refuses a target that is no URL.
			assert.ErrorContains(t, err, "parse")
			return
		}
		assert.Equal(t, framing.chunked, len(req.TransferEncoding) > 0)
		if !framing.chunked {
			assert.Equal(t, int64(framing.length), req.ContentLength)
		}
	})
}

func checkPieces(t *testing.T, data []byte, cut, n int, done bool, refused *refusal) {
	t.Helper()
	cut = max(min(cut, len(data)), 0)
	var s headScanner
	first, firstDone, firstRefused := s.scan(data[:cut], MaxHeadBytes)
	if firstDone || firstRefused != nil {
		assert.Equal(t, firstDone, done)
		assert.Equal(t, firstRefused, refused)
		return
	}
	second, secondDone, secondRefused := s.scan(data[cut:], MaxHeadBytes)
	assert.Equal(t, secondDone, done)
	assert.Equal(t, secondRefused, refused)
	if done {
		assert.Equal(t, first+second, n)
	}
}

// FuzzChunks checks that the guard accepts no body in chunks that net/http
// refuses or reads in another length.
func FuzzChunks(f *testing.F) {
	for _, seed := range []string{
		"3\r\nabc\r\n0\r\n\r\n", "0\r\n\r\n", "3;a=b\r\nabc\r\n0\r\n\r\n", "03\r\nabc\r\n00\r\n\r\n",
		"3\nabc\r\n0\r\n\r\n", "0\r\nX: y\r\n\r\n", "fffffffff\r\n", "+3\r\nabc\r\n0\r\n\r\n", "3\r\nabcd\r\n0\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var s chunkScanner
		var passed bytes.Buffer
		n, whole, refused := s.scan(data, testBody, func(part []byte) *refusal {
			passed.Write(part)
			return nil
		})
		if refused != nil || !whole {
			return
		}
		head := "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
		reader := bufio.NewReader(bytes.NewReader(append([]byte(head), data...)))
		req, err := http.ReadRequest(reader)
		assert.NilError(t, err)
		var body bytes.Buffer
		_, err = body.ReadFrom(req.Body)
		assert.NilError(t, err)
		assert.Equal(t, reader.Buffered(), len(data)-n)
		assert.Equal(t, passed.String(), body.String())
	})
}
