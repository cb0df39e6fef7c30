package callers

import (
	"bufio"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	stdtls "crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabstack/baobabstack/internal/httpserver"
	"github.com/baobabstack/baobabstack/internal/logs"
	"github.com/baobabstack/baobabstack/internal/settings"
)

func writeKeyPair(t *testing.T, files settings.TLS, name string) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name}, DNSNames: []string{name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	cert, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	keyBytes, err := x509.MarshalECPrivateKey(key)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(files.KeyFile, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyBytes}), 0o600))
	assert.NilError(t, os.WriteFile(files.CertFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: cert}), 0o600))
}

func startTLS(t *testing.T, files settings.TLS) *httpserver.Server {
	t.Helper()
	config, err := newTLSConfig(files, logs.For("test"))
	assert.NilError(t, err)
	server, err := httpserver.Start(httpserver.Options{
		Name: "test", Address: "127.0.0.1:0", MaxBodyBytes: 4 << 20, TLS: config,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			_, _ = w.Write(body)
		}),
	})
	assert.NilError(t, err)
	t.Cleanup(server.Stop)
	return server
}

func dialTLS(t *testing.T, server *httpserver.Server) *stdtls.Conn {
	t.Helper()
	c, err := stdtls.Dial("tcp", server.Address(), &stdtls.Config{InsecureSkipVerify: true})
	assert.NilError(t, err)
	t.Cleanup(func() { c.Close() })
	assert.NilError(t, c.SetDeadline(time.Now().Add(20*time.Second)))
	return c
}

func nameOf(c *stdtls.Conn) string { return c.ConnectionState().PeerCertificates[0].Subject.CommonName }

func TestTLSAnswersLargeBodiesWholeAndClosesCleanly(t *testing.T) {
	dir := t.TempDir()
	files := settings.TLS{CertFile: filepath.Join(dir, "cert.pem"), KeyFile: filepath.Join(dir, "key.pem")}
	writeKeyPair(t, files, "first")
	c := dialTLS(t, startTLS(t, files))
	body := strings.Repeat("0123456789abcdef", 1<<16)
	go func() {
		_, _ = io.WriteString(c, "POST /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 1048576\r\n\r\n"+body)
	}()
	r := bufio.NewReader(c)
	res, err := http.ReadResponse(r, nil)
	assert.NilError(t, err)
	got, err := io.ReadAll(res.Body)
	assert.NilError(t, err)
	assert.Assert(t, string(got) == body)
	// A clean end: close_notify, not a cut stream.
	_, err = r.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
}

func TestTLSRefusesBadRequests(t *testing.T) {
	dir := t.TempDir()
	files := settings.TLS{CertFile: filepath.Join(dir, "cert.pem"), KeyFile: filepath.Join(dir, "key.pem")}
	writeKeyPair(t, files, "first")
	c := dialTLS(t, startTLS(t, files))
	_, err := io.WriteString(c, "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
	assert.NilError(t, err)
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	assert.Equal(t, res.StatusCode, http.StatusBadRequest)
}

func TestTLSKeysAreReplacedWithoutARestart(t *testing.T) {
	dir := t.TempDir()
	files := settings.TLS{CertFile: filepath.Join(dir, "cert.pem"), KeyFile: filepath.Join(dir, "key.pem")}
	writeKeyPair(t, files, "first")
	server := startTLS(t, files)
	assert.Equal(t, nameOf(dialTLS(t, server)), "first")
	writeKeyPair(t, files, "the second one")
	assert.Equal(t, nameOf(dialTLS(t, server)), "the second one")
	assert.NilError(t, os.WriteFile(files.CertFile, []byte("nonsense"), 0o600))
	assert.Equal(t, nameOf(dialTLS(t, server)), "the second one")
}

func TestTLSWithoutFilesIsRefused(t *testing.T) {
	_, err := newTLSConfig(settings.TLS{CertFile: "none", KeyFile: "none"}, logs.For("test"))
	assert.ErrorContains(t, err, "callers.tls")
}
