package peers

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"
	"gotest.tools/v3/assert"

	"github.com/baobabstack/baobabstack/internal/lists"
	"github.com/baobabstack/baobabstack/internal/peerwire"
	"github.com/baobabstack/baobabstack/internal/settings"
	"github.com/baobabstack/baobabstack/internal/view"
)

// authority signs certificates for a test.
type authority struct {
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	cert, err := x509.ParseCertificate(raw)
	assert.NilError(t, err)
	return &authority{key: key, cert: cert}
}

// issue writes a certificate, its key and the authority that peers need.
func (a *authority) issue(t *testing.T, dir string, trusted *authority) settings.TLS {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: "entry"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	cert, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	assert.NilError(t, err)
	keyBytes, err := x509.MarshalECPrivateKey(key)
	assert.NilError(t, err)
	files := settings.TLS{CertFile: filepath.Join(dir, "cert.pem"), KeyFile: filepath.Join(dir, "key.pem"), CAFile: filepath.Join(dir, "ca.pem")}
	for file, block := range map[string]*pem.Block{
		files.CertFile: {Type: "CERTIFICATE", Bytes: cert}, files.KeyFile: {Type: "EC PRIVATE KEY", Bytes: keyBytes},
		files.CAFile: {Type: "CERTIFICATE", Bytes: trusted.cert.Raw},
	} {
		assert.NilError(t, os.WriteFile(file, pem.EncodeToMemory(block), 0o600))
	}
	return files
}

func identityOf(t *testing.T, files settings.TLS) *Identity {
	t.Helper()
	i, err := NewIdentity(files)
	assert.NilError(t, err)
	return i
}

func serveSecure(t *testing.T, i *Identity, holder *view.Holder) string {
	t.Helper()
	server := grpc.NewServer(grpc.Creds(i.Credentials()), grpc.UnaryInterceptor(listedOnly(holder)))
	peerwire.RegisterPeersServer(server, peerwire.UnimplementedPeersServer{})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	return listener.Addr().String()
}

// codeOf returns the status of a call; Unimplemented means that it got through.
func codeOf(t *testing.T, address string, c credentials.TransportCredentials) codes.Code {
	t.Helper()
	conn, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(c))
	assert.NilError(t, err)
	defer conn.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	_, err = peerwire.NewPeersClient(conn).Exchange(ctx, &peerwire.Digest{})
	return status.Code(err)
}

func listOf(addresses ...string) *view.Holder {
	holder := &view.Holder{}
	snapshot := &view.Snapshot{}
	for _, address := range addresses {
		snapshot.Peers = append(snapshot.Peers, lists.VM{Address: address})
	}
	holder.Store(snapshot)
	return holder
}

func TestPeersNeedACertificateAndAListedAddress(t *testing.T) {
	ours, others := newAuthority(t), newAuthority(t)
	server := identityOf(t, ours.issue(t, t.TempDir(), ours))
	good := identityOf(t, ours.issue(t, t.TempDir(), ours))
	stranger := identityOf(t, others.issue(t, t.TempDir(), ours))
	distrustful := identityOf(t, ours.issue(t, t.TempDir(), others))
	listedHere := serveSecure(t, server, listOf("127.0.0.1:9"))
	assert.Equal(t, codeOf(t, listedHere, good.Credentials()), codes.Unimplemented)
	assert.Equal(t, codeOf(t, listedHere, stranger.Credentials()), codes.Unavailable)
	assert.Equal(t, codeOf(t, listedHere, distrustful.Credentials()), codes.Unavailable)
	assert.Equal(t, codeOf(t, listedHere, insecure.NewCredentials()), codes.Unavailable)
	unlisted := serveSecure(t, server, listOf("127.0.0.2:9"))
	assert.Equal(t, codeOf(t, unlisted, good.Credentials()), codes.PermissionDenied)
}

func TestPeersKeysAreReplacedWithoutARestart(t *testing.T) {
	first, second := newAuthority(t), newAuthority(t)
	dir := t.TempDir()
	server := identityOf(t, first.issue(t, dir, first))
	address := serveSecure(t, server, listOf("127.0.0.1:9"))
	renewed := identityOf(t, second.issue(t, t.TempDir(), second))
	assert.Equal(t, codeOf(t, address, renewed.Credentials()), codes.Unavailable)
	files := second.issue(t, dir, second)
	assert.Equal(t, codeOf(t, address, renewed.Credentials()), codes.Unimplemented)
	assert.NilError(t, os.WriteFile(files.CAFile, []byte("nonsense"), 0o600))
	assert.Equal(t, codeOf(t, address, renewed.Credentials()), codes.Unimplemented)
}
