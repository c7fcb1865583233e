package credential

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync/atomic"
	"time"

	"skylarkturn/internal/flow"
	"skylarkturn/internal/settings"
)

// Kinds of errors.
const (
	KindRead  = "read"
	KindParse = "parse"
	KindPeer  = "peer"
)

// Error reports the file or peer that failed and why.
type Error struct {
	Op   string
	Kind string
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("credential: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Files names the files that credentials are read from.
type Files struct {
	CA         string `toml:"ca_file"`          // PEM, signs the daemons' and operators' certificates
	Cert       string `toml:"cert_file"`        // PEM, the daemon's own
	Key        string `toml:"key_file"`         // PEM
	CallerCert string `toml:"caller_cert_file"` // PEM, shown to callers; agents only
	CallerKey  string `toml:"caller_key_file"`  // PEM
	Secrets    string `toml:"secrets_file"`     // TOML, see Secrets
}

// Check reports the first missing name.
func (f *Files) Check() error {
	for _, s := range [][2]string{{"ca_file", f.CA}, {"cert_file", f.Cert}, {"key_file", f.Key}, {"secrets_file", f.Secrets}} {
		if s[1] == "" {
			return settings.Invalid("credentials."+s[0], "a file name is required")
		}
	}
	if (f.CallerCert == "") != (f.CallerKey == "") {
		return settings.Invalid("credentials.caller_cert_file", "caller_cert_file and caller_key_file go together")
	}
	return nil
}

// Secrets is the content of the secrets file.
type Secrets struct {
	Root   string    `toml:"root_secret"` // hexadecimal; authenticates frames and control messages
	Active uint8     `toml:"active_flow_key"`
	Keys   []FlowKey `toml:"flow_key"`
}

// FlowKey is a secret for connection IDs with its key number.
type FlowKey struct {
	Number uint8  `toml:"number"`
	Secret string `toml:"secret"` // hexadecimal
}

// Check reports the first invalid value.
func (s *Secrets) Check() error {
	if _, err := settings.DecodeSecret("root_secret", s.Root); err != nil {
		return err
	}
	active := false
	for _, k := range s.Keys {
		if _, err := settings.DecodeSecret("flow_key.secret", k.Secret); err != nil {
			return err
		}
		if k.Number > flow.MaxKeyNumber {
			return settings.Invalid("flow_key.number", "%d is not within 0 to %d", k.Number, flow.MaxKeyNumber)
		}
		active = active || k.Number == s.Active
	}
	if !active {
		return settings.Invalid("active_flow_key", "no flow_key has number %d", s.Active)
	}
	return nil
}

func (s *Secrets) keyring() (*flow.Keyring, error) {
	secrets := make(map[uint8][]byte, len(s.Keys))
	for _, k := range s.Keys {
		b, err := settings.DecodeSecret("flow_key.secret", k.Secret)
		if err != nil {
			return nil, err
		}
		secrets[k.Number] = b
	}
	return flow.NewKeyring(s.Active, secrets)
}

type material struct {
	root   []byte
	keys   *flow.Keyring
	pool   *x509.CertPool
	cert   tls.Certificate
	caller tls.Certificate
}

// Store holds the credentials now in use.
type Store struct {
	files   Files
	current atomic.Pointer[material]
	changed time.Time // newest modification time seen; used by one goroutine
}

// Open loads the credentials.
func Open(files Files) (*Store, error) {
	s := &Store{files: files}
	if _, err := s.Reload(); err != nil {
		return nil, err
	}
	return s, nil
}

// Reload loads the files again if one has changed, and reports whether it did.
// After an error the credentials in use stay.
func (s *Store) Reload() (bool, error) {
	newest, err := s.files.modified()
	if err != nil || newest.Equal(s.changed) {
		return false, err
	}
	m, err := s.files.load()
	if err != nil {
		return false, err
	}
	s.changed = newest
	s.current.Store(m)
	return true, nil
}

func (f *Files) modified() (newest time.Time, err error) {
	for _, name := range []string{f.CA, f.Cert, f.Key, f.CallerCert, f.CallerKey, f.Secrets} {
		if name == "" {
			continue
		}
		info, err := os.Stat(name)
		if err != nil {
			return newest, &Error{"stat", KindRead, err}
		}
		if info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest, nil
}

func (f *Files) load() (*material, error) {
	var secrets Secrets
	if err := settings.Load(f.Secrets, &secrets); err != nil {
		return nil, err
	}
	m := &material{pool: x509.NewCertPool()}
	var err error
	if m.root, err = settings.DecodeSecret("root_secret", secrets.Root); err != nil {
		return nil, err
	}
	if m.keys, err = secrets.keyring(); err != nil {
		return nil, err
	}
	pem, err := os.ReadFile(f.CA)
	if err != nil {
		return nil, &Error{"read CA", KindRead, err}
	}
	if !m.pool.AppendCertsFromPEM(pem) {
		return nil, &Error{"read CA", KindParse, fmt.Errorf("%s holds no PEM certificate", f.CA)}
	}
	if m.cert, err = tls.LoadX509KeyPair(f.Cert, f.Key); err != nil {
		return nil, &Error{"load " + f.Cert, KindParse, err}
	}
	if f.CallerCert == "" {
		return m, nil
	}
	if m.caller, err = tls.LoadX509KeyPair(f.CallerCert, f.CallerKey); err != nil {
		return nil, &Error{"load " + f.CallerCert, KindParse, err}
	}
	return m, nil
}

// Root returns the root secret; frames and control messages use the one that
// the daemon started with.
func (s *Store) Root() []byte { return s.current.Load().root }

// Keys returns the keys for connection IDs.
func (s *Store) Keys() *flow.Keyring { return s.current.Load().keys }

// Server returns the TLS configuration of a server whose clients must show a
// certificate that the CA signed.
func (s *Store) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m := s.current.Load()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				NextProtos:   []string{"h2", "http/1.1"},
				Certificates: []tls.Certificate{m.cert},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    m.pool,
			}, nil
		},
	}
}

// Daemons returns the TLS configuration of a server that only other daemons may
// call: operators' certificates have the usage of clients alone.
func (s *Store) Daemons() *tls.Config {
	cfg := s.Server()
	server := cfg.GetConfigForClient
	cfg.GetConfigForClient = func(hello *tls.ClientHelloInfo) (*tls.Config, error) {
		c, err := server(hello)
		if err != nil {
			return nil, err
		}
		c.VerifyConnection = s.verify
		return c, nil
	}
	return cfg
}

// Client returns the TLS configuration for calls to other daemons, which are
// known by the CA's signature and not by their addresses.
func (s *Store) Client() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &s.current.Load().cert, nil
		},
		InsecureSkipVerify: true, // VerifyConnection checks the chain; addresses change with each VM
		VerifyConnection:   s.verify,
	}
}

func (s *Store) verify(cs tls.ConnectionState) error {
	if len(cs.PeerCertificates) == 0 {
		return &Error{"verify", KindPeer, errors.New("no certificate")}
	}
	opts := x509.VerifyOptions{
		Roots:         s.current.Load().pool,
		Intermediates: x509.NewCertPool(),
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	}
	for _, c := range cs.PeerCertificates[1:] {
		opts.Intermediates.AddCert(c)
	}
	if _, err := cs.PeerCertificates[0].Verify(opts); err != nil {
		return &Error{"verify", KindPeer, err}
	}
	return nil
}

// Callers returns the TLS configuration of the server that callers reach.
func (s *Store) Callers() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &s.current.Load().caller, nil
		},
	}
}
