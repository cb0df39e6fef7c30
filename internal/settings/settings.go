// Package settings reads and checks an entry's settings file.
package settings

import (
	"bytes"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"

	"github.com/baobabstack/baobabstack/internal/fault"
	"github.com/baobabstack/baobabstack/internal/lists"
)

// Settings is the static configuration of one entry.
type Settings struct {
	// Entry identifies the entry.
	Entry Entry `toml:"entry"`
	// Callers configures the listener towards callers.
	Callers Callers `toml:"callers"`
	// Peers configures the listener towards other entries.
	Peers Peers `toml:"peers"`
	// Admin configures the listener for operators.
	Admin Admin `toml:"admin"`
	// Configuration says where the lists come from.
	Configuration Configuration `toml:"configuration"`
	// Tracing configures the export of spans.
	Tracing Tracing `toml:"tracing"`
	// Log configures the log.
	Log Log `toml:"log"`
	// Stop configures the graceful stop.
	Stop Stop `toml:"stop"`
}

// Stop configures the graceful stop.
type Stop struct {
	// LameDuck is how long calls are still taken after readiness fails, so that
	// the platform's balancer can notice. Default 2 s.
	LameDuck Duration `toml:"lame_duck"`
	// Drain bounds the time that calls in flight have after that. Default 30 s.
	Drain Duration `toml:"drain"`
}

// Duration is a time span written like "2s".
type Duration struct{ time.Duration }

// UnmarshalText parses a time span.
func (d *Duration) UnmarshalText(text []byte) error {
	var err error
	d.Duration, err = time.ParseDuration(string(text))
	return errors.WithStack(err)
}

// Entry identifies an entry.
type Entry struct {
	// ID is the VM's id in the platform's list.
	ID string `toml:"id"`
	// DataCentre is the name of the VM's data centre.
	DataCentre string `toml:"data_centre"`
}

// TLS names the files of a certificate. They are read again when they change.
type TLS struct {
	// CertFile is a PEM certificate chain.
	CertFile string `toml:"cert_file"`
	// KeyFile is the PEM private key.
	KeyFile string `toml:"key_file"`
	// CAFile holds the PEM certificates that the other side must chain to.
	// Used between entries only.
	CAFile string `toml:"ca_file"`
}

// Enabled reports whether any file is named.
func (t TLS) Enabled() bool { return t != TLS{} }

// Callers configures the listener towards callers.
type Callers struct {
	// Address is the IP address and port to listen on.
	Address string `toml:"address"`
	// MaxBodyBytes bounds a request's or an answer's body. Default 1 MiB.
	MaxBodyBytes int `toml:"max_body_bytes"`
	// MemoryBytes bounds the bodies held by the process. Default 64 MiB.
	MemoryBytes int `toml:"memory_bytes"`
	// MaxInFlight bounds the calls in flight. Default 4096.
	MaxInFlight int `toml:"max_in_flight"`
	// RequestTimeout bounds the time from a request's first byte to its last.
	// Default 10 s.
	RequestTimeout Duration `toml:"request_timeout"`
	// WriteTimeout bounds the time that a caller takes to read an answer.
	// Default 30 s.
	WriteTimeout Duration `toml:"write_timeout"`
	// IdleTimeout bounds the time between two requests on a connection. Default
	// 2 min.
	IdleTimeout Duration `toml:"idle_timeout"`
	// TLS enables TLS towards callers.
	TLS TLS `toml:"tls"`
}

// Peers configures the listener towards other entries.
type Peers struct {
	// Address is the IP address and port to listen on; it is the VM's address in
	// the platform's list.
	Address string `toml:"address"`
	// TLS enables mutual TLS between entries.
	TLS TLS `toml:"tls"`
}

// Admin configures the listener for operators.
type Admin struct {
	// Address is the IP address and port to listen on.
	Address string `toml:"address"`
}

// Configuration says where the lists come from.
type Configuration struct {
	// URL is the base URL of the platform's configuration service.
	URL string `toml:"url"`
}

// Tracing configures the export of spans.
type Tracing struct {
	// Endpoint is the OTLP/HTTP URL of a collector; empty disables the export.
	Endpoint string `toml:"endpoint"`
}

// Log configures the log.
type Log struct {
	// Level is debug, info, warn or error. Default info.
	Level string `toml:"level"`
}

const (
	defaultMaxBodyBytes = 1 << 20
	defaultMemoryBytes  = 64 << 20
	defaultMaxInFlight  = 4096

	defaultRequestTimeout = 10 * time.Second
	defaultWriteTimeout   = 30 * time.Second
	defaultIdleTimeout    = 2 * time.Minute
	defaultLameDuck       = 2 * time.Second
	defaultDrain          = 30 * time.Second
	maxLameDuck           = time.Minute
)

// Load reads and checks a settings file. All faults found are returned; each
// names file, line, key and remedy.
func Load(file string) (*Settings, []error) { return load(file, Parse) }

// load reads a file and parses it.
func load[T any](file string, parse func(string, []byte) (*T, []error)) (*T, []error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, []error{fault.Wrap(err, fault.Settings, file, "cannot be read", "give the path of a settings file")}
	}
	return parse(file, data)
}

// Parse checks the text of a settings file. The file name is used in faults only.
func Parse(file string, data []byte) (*Settings, []error) {
	s := &Settings{
		Callers: Callers{
			MaxBodyBytes: defaultMaxBodyBytes, MemoryBytes: defaultMemoryBytes, MaxInFlight: defaultMaxInFlight,
			RequestTimeout: Duration{defaultRequestTimeout}, WriteTimeout: Duration{defaultWriteTimeout}, IdleTimeout: Duration{defaultIdleTimeout},
		},
		Stop: Stop{LameDuck: Duration{defaultLameDuck}, Drain: Duration{defaultDrain}},
		Log:  Log{Level: "info"},
	}
	return parse(file, data, s, (*checker).check)
}

// parse decodes the text into settings that hold the defaults, and checks them.
func parse[T any](file string, data []byte, into *T, check func(*checker, *T)) (*T, []error) {
	if err := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields().Decode(into); err != nil {
		return nil, lists.TOMLFaults(fault.Settings, file, err)
	}
	c := checker{place: lists.NewPlace(fault.Settings, file, data)}
	check(&c, into)
	if len(c.faults) > 0 {
		return nil, c.faults
	}
	return into, nil
}

type checker struct {
	place  lists.Place
	faults []error
}

func (c *checker) add(key, problem, remedy string) {
	c.faults = append(c.faults, c.place.Fault(key, problem, remedy))
}

func (c *checker) check(s *Settings) {
	c.notEmpty("entry.id", s.Entry.ID, "give the VM's id in the platform's list")
	c.notEmpty("entry.data_centre", s.Entry.DataCentre, "name the VM's data centre")
	c.address("callers.address", s.Callers.Address)
	c.address("peers.address", s.Peers.Address)
	c.address("admin.address", s.Admin.Address)
	c.positive("callers.max_body_bytes", s.Callers.MaxBodyBytes)
	c.positive("callers.memory_bytes", s.Callers.MemoryBytes)
	c.positive("callers.max_in_flight", s.Callers.MaxInFlight)
	if s.Callers.MemoryBytes < s.Callers.MaxBodyBytes {
		c.add("callers.memory_bytes", "is below callers.max_body_bytes", "allow at least one body of the largest size")
	}
	c.url("configuration.url", s.Configuration.URL)
	if s.Tracing.Endpoint != "" {
		c.url("tracing.endpoint", s.Tracing.Endpoint)
	}
	c.duration("callers.request_timeout", s.Callers.RequestTimeout)
	c.duration("callers.write_timeout", s.Callers.WriteTimeout)
	c.duration("callers.idle_timeout", s.Callers.IdleTimeout)
	c.duration("stop.drain", s.Stop.Drain)
	if s.Stop.LameDuck.Duration < 0 || s.Stop.LameDuck.Duration > maxLameDuck {
		c.add("stop.lame_duck", "is "+s.Stop.LameDuck.String(), "give a duration from 0s to "+maxLameDuck.String())
	}
	c.tls("callers.tls", s.Callers.TLS, false)
	c.tls("peers.tls", s.Peers.TLS, true)
	c.level(s.Log.Level)
}

func (c *checker) notEmpty(key, value, remedy string) {
	if value == "" {
		c.add(key, "is missing", remedy)
	}
}

func (c *checker) positive(key string, value int) {
	if value < 1 {
		c.add(key, fmt.Sprintf("is %d", value), "give a number above 0")
	}
}

func (c *checker) duration(key string, value Duration) {
	if value.Duration <= 0 {
		c.add(key, "is "+value.String(), "give a duration above 0s, like 10s")
	}
}

func (c *checker) address(key, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.add(key, fmt.Sprintf("%q is not an IP address and port", value), "write it like 10.0.0.1:8080")
	}
}

func (c *checker) url(key, value string) {
	u, err := url.Parse(value)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		c.add(key, fmt.Sprintf("%q is not an HTTP URL", value), "write it like http://10.0.0.1:7000")
	}
}

func (c *checker) tls(key string, t TLS, mutual bool) {
	if !t.Enabled() {
		return
	}
	c.notEmpty(key+".cert_file", t.CertFile, "name a PEM certificate file")
	c.notEmpty(key+".key_file", t.KeyFile, "name a PEM key file")
	if mutual {
		c.notEmpty(key+".ca_file", t.CAFile, "name the PEM file of the entries' authority")
	}
}
