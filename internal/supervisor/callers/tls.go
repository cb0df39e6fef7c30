package callers

import (
	"os"
	"sync"
	"time"

	"github.com/lesismal/llib/std/crypto/tls"

	"github.com/baobabstack/baobabstack/internal/fault"
	"github.com/baobabstack/baobabstack/internal/journal"
	"github.com/baobabstack/baobabstack/internal/logs"
	"github.com/baobabstack/baobabstack/internal/settings"
)

// keyPair is a certificate and its key, read again when a file changes. A pair
// that can't be used leaves the last good one in force.
type keyPair struct {
	files settings.TLS
	log   logs.Logger

	mu     sync.Mutex
	stamp  [2]fileStamp
	loaded *tls.Certificate
}

type fileStamp struct {
	modified time.Time
	size     int64
}

// newTLSConfig returns the TLS settings of the listener, nil if TLS is off.
func newTLSConfig(files settings.TLS, log logs.Logger) (*tls.Config, error) {
	if !files.Enabled() {
		return nil, nil
	}
	pair := &keyPair{files: files, log: log}
	if err := pair.load(pair.stamps()); err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS12, NextProtos: []string{"http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return pair.current(), nil },
	}, nil
}

// current returns the certificate for a new connection.
func (p *keyPair) current() *tls.Certificate {
	p.mu.Lock()
	defer p.mu.Unlock()
	if stamp := p.stamps(); stamp != p.stamp {
		if err := p.load(stamp); err != nil {
			p.log.Errorf("the last good certificate stays: %v", err)
			journal.Note("callers", "certificate-refused", p.files.CertFile, err.Error())
		} else {
			journal.Note("callers", "certificate-in-force", p.files.CertFile, "the files changed")
		}
	}
	return p.loaded
}

func (p *keyPair) load(stamp [2]fileStamp) error {
	p.stamp = stamp
	loaded, err := tls.LoadX509KeyPair(p.files.CertFile, p.files.KeyFile)
	if err != nil {
		return fault.Wrap(err, fault.Settings, "callers.tls", "the certificate or key can't be used", "name a PEM chain and its key")
	}
	p.loaded = &loaded
	return nil
}

func (p *keyPair) stamps() (stamps [2]fileStamp) {
	for i, file := range []string{p.files.CertFile, p.files.KeyFile} {
		if info, err := os.Stat(file); err == nil {
			stamps[i] = fileStamp{info.ModTime(), info.Size()}
		}
	}
	return stamps
}
