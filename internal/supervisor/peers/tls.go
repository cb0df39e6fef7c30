package peers

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"

	"github.com/baobabstack/baobabstack/internal/fault"
	"github.com/baobabstack/baobabstack/internal/journal"
	"github.com/baobabstack/baobabstack/internal/settings"
	"github.com/baobabstack/baobabstack/internal/view"
)

// Identity is what an entry shows to other entries and what it expects of them.
// Its files are read again when they change; files that can't be used leave the
// last good ones in force.
type Identity struct {
	files settings.TLS

	mu     sync.Mutex
	stamp  [3]fileStamp
	loaded tls.Certificate
	roots  *x509.CertPool
}

type fileStamp struct {
	modified time.Time
	size     int64
}

// NewIdentity reads the files. It returns nil if TLS is off.
func NewIdentity(files settings.TLS) (*Identity, error) {
	if !files.Enabled() {
		return nil, nil
	}
	i := &Identity{files: files}
	return i, i.load(i.stamps())
}

// Credentials returns mutual TLS for either side of a link. A peer is known by a
// certificate of the authority; its host name is not checked, because peers are
// called by the addresses of the VM list.
func (i *Identity) Credentials() credentials.TransportCredentials {
	return credentials.NewTLS(&tls.Config{
		MinVersion: tls.VersionTLS13, ClientAuth: tls.RequireAnyClientCert,
		// VerifyConnection checks the chain against the authority in force.
		InsecureSkipVerify: true,
		VerifyConnection:   i.verify,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			certificate, _ := i.current()
			return &certificate, nil
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			certificate, _ := i.current()
			return &certificate, nil
		},
	})
}

func (i *Identity) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return fault.New(fault.Peer, "peers.tls", "the peer shows no certificate", "give each entry a certificate of the entries' authority")
	}
	_, roots := i.current()
	between := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		between.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: roots, Intermediates: between, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return errors.WithStack(err)
}

// current returns the certificate and the authority in force.
func (i *Identity) current() (tls.Certificate, *x509.CertPool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if stamp := i.stamps(); stamp != i.stamp {
		if err := i.load(stamp); err != nil {
			journal.Note("peers", "certificate-refused", i.files.CertFile, err.Error())
		} else {
			journal.Note("peers", "certificate-in-force", i.files.CertFile, "the files changed")
		}
	}
	return i.loaded, i.roots
}

func (i *Identity) load(stamp [3]fileStamp) error {
	i.stamp = stamp
	loaded, err := tls.LoadX509KeyPair(i.files.CertFile, i.files.KeyFile)
	if err != nil {
		return fault.Wrap(err, fault.Settings, "peers.tls", "the certificate or key can't be used", "name a PEM chain and its key")
	}
	authority, err := os.ReadFile(i.files.CAFile)
	if err != nil {
		return fault.Wrap(err, fault.Settings, "peers.tls.ca_file", "can't be read", "name the PEM file of the entries' authority")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(authority) {
		return fault.New(fault.Settings, "peers.tls.ca_file", "holds no certificate", "name the PEM file of the entries' authority")
	}
	i.loaded, i.roots = loaded, roots
	return nil
}

func (i *Identity) stamps() (stamps [3]fileStamp) {
	for n, file := range []string{i.files.CertFile, i.files.KeyFile, i.files.CAFile} {
		if info, err := os.Stat(file); err == nil {
			stamps[n] = fileStamp{info.ModTime(), info.Size()}
		}
	}
	return stamps
}

// listedOnly refuses calls from addresses that no VM of the list has.
func listedOnly(holder *view.Holder) grpc.UnaryServerInterceptor {
	return func(ctx context.Context, req any, _ *grpc.UnaryServerInfo, next grpc.UnaryHandler) (any, error) {
		if from, ok := peer.FromContext(ctx); !ok || !listedIP(holder.Load(), from.Addr.String()) {
			return nil, status.Error(codes.PermissionDenied, "the caller's address is not in the VM list")
		}
		return next(ctx, req)
	}
}

func listedIP(snapshot *view.Snapshot, address string) bool {
	from, err := netip.ParseAddrPort(address)
	if err != nil {
		return false
	}
	for _, vm := range snapshot.Peers {
		if known, err := netip.ParseAddrPort(vm.Address); err == nil && known.Addr() == from.Addr().Unmap() {
			return true
		}
	}
	return false
}
