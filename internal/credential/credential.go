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
	KindRead  = "read"  // a file could not be read
	KindParse = "parse" // a certificate or key could not be loaded
	KindPeer  = "peer"  // the certificate of a peer could not be verified
)

// Error describes a file that could not be loaded or a peer that could not be
// verified.
type Error struct {
	Op   string
	Kind string
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("credential: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Files holds the names of the files that the credentials are loaded from.
type Files struct {
	CA         string `toml:"ca_file"`          // PEM; issuer of the certificates of daemons and operators
	Cert       string `toml:"cert_file"`        // PEM; the daemon's own certificate
	Key        string `toml:"key_file"`         // PEM
	CallerCert string `toml:"caller_cert_file"` // PEM; server certificate for callers, only in agents
	CallerKey  string `toml:"caller_key_file"`  // PEM
	Secrets    string `toml:"secrets_file"`     // TOML, see Secrets
}

// Check returns an error for the first missing file name.
func (f *Files) Check() error {
	for _, s := range [][2]string{{"ca_file", f.CA}, {"cert_file", f.Cert}, {"key_file", f.Key}, {"secrets_file", f.Secrets}} {
		if s[1] == "" {
			return settings.Invalidf("credentials."+s[0], "a file name is required")
		}
	}
	if (f.CallerCert == "") != (f.CallerKey == "") {
		return settings.Invalidf("credentials.caller_cert_file", "caller_cert_file and caller_key_file must be set together")
	}
	return nil
}

// Secrets is the content of the secrets file.
type Secrets struct {
	Root   string    `toml:"root_secret"`     // hexadecimal; authenticates frames and control messages
	Active uint8     `toml:"active_flow_key"` // number of the key that encrypts new connection IDs
	Keys   []FlowKey `toml:"flow_key"`        // the active key, and others to decrypt older connection IDs
}

// FlowKey is a secret for the encryption of connection IDs and its key number.
type FlowKey struct {
	Number uint8  `toml:"number"`
	Secret string `toml:"secret"` // hexadecimal
}

// Check returns an error for the first invalid value.
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
			return settings.Invalidf("flow_key.number", "%d is not within 0 to %d", k.Number, flow.MaxKeyNumber)
		}
		active = active || k.Number == s.Active
	}
	if !active {
		return settings.Invalidf("active_flow_key", "no flow_key has number %d", s.Active)
	}
	return nil
}

func (s *Secrets) newKeyring() (*flow.Keyring, error) {
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

// credentials is one consistent set of the files' contents.
type credentials struct {
	rootSecret []byte
	flowKeys   *flow.Keyring
	caPool     *x509.CertPool
	daemonCert tls.Certificate
	callerCert tls.Certificate
}

// Store holds the current credentials of a daemon. Except for Reload, its methods
// are safe for concurrent use.
type Store struct {
	files   Files
	current atomic.Pointer[credentials]
	modTime time.Time // newest modification time of the loaded files; used only by Reload
}

// Open loads the credentials from the files.
func Open(files Files) (*Store, error) {
	s := &Store{files: files}
	if _, err := s.Reload(); err != nil {
		return nil, err
	}
	return s, nil
}

// Reload loads all files again if one of them has been modified, and reports
// whether it did. On an error it keeps the current credentials. It must not be
// called concurrently.
func (s *Store) Reload() (bool, error) {
	newest, err := s.files.newestModTime()
	if err != nil || newest.Equal(s.modTime) {
		return false, err
	}
	loaded, err := s.files.load()
	if err != nil {
		return false, err
	}
	s.modTime = newest
	s.current.Store(loaded)
	return true, nil
}

func (f *Files) newestModTime() (newest time.Time, err error) {
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

func (f *Files) load() (*credentials, error) {
	var secrets Secrets
	if err := settings.Load(f.Secrets, &secrets); err != nil {
		return nil, err
	}
	c := &credentials{caPool: x509.NewCertPool()}
	var err error
	if c.rootSecret, err = settings.DecodeSecret("root_secret", secrets.Root); err != nil {
		return nil, err
	}
	if c.flowKeys, err = secrets.newKeyring(); err != nil {
		return nil, err
	}
	pem, err := os.ReadFile(f.CA)
	if err != nil {
		return nil, &Error{"read CA", KindRead, err}
	}
	if !c.caPool.AppendCertsFromPEM(pem) {
		return nil, &Error{"read CA", KindParse, fmt.Errorf("%s contains no PEM certificate", f.CA)}
	}
	if c.daemonCert, err = tls.LoadX509KeyPair(f.Cert, f.Key); err != nil {
		return nil, &Error{"load " + f.Cert, KindParse, err}
	}
	if f.CallerCert == "" {
		return c, nil
	}
	if c.callerCert, err = tls.LoadX509KeyPair(f.CallerCert, f.CallerKey); err != nil {
		return nil, &Error{"load " + f.CallerCert, KindParse, err}
	}
	return c, nil
}

// RootSecret returns the root secret. Frames and control messages are authenticated with
// the one from the start of the daemon, even after a reload.
func (s *Store) RootSecret() []byte { return s.current.Load().rootSecret }

// FlowKeys returns the keys that encrypt connection IDs.
func (s *Store) FlowKeys() *flow.Keyring { return s.current.Load().flowKeys }

// ServerTLS returns the TLS configuration of a server that requires a client
// certificate issued by the CA.
func (s *Store) ServerTLS() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			current := s.current.Load()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				NextProtos:   []string{"h2", "http/1.1"},
				Certificates: []tls.Certificate{current.daemonCert},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    current.caPool,
			}, nil
		},
	}
}

// DaemonServerTLS returns the TLS configuration of a server that accepts only daemons as
// clients. It requires a certificate with the extended key usage for servers,
// which the certificates of operators lack.
func (s *Store) DaemonServerTLS() *tls.Config {
	cfg := s.ServerTLS()
	base := cfg.GetConfigForClient
	cfg.GetConfigForClient = func(hello *tls.ClientHelloInfo) (*tls.Config, error) {
		c, err := base(hello)
		if err != nil {
			return nil, err
		}
		c.VerifyConnection = s.verifyPeer
		return c, nil
	}
	return cfg
}

// ClientTLS returns the TLS configuration for calls to other daemons. It verifies
// that the CA issued the server certificate but not the name in it.
func (s *Store) ClientTLS() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &s.current.Load().daemonCert, nil
		},
		InsecureSkipVerify: true, // VerifyConnection verifies the chain; names can't be verified, as each VM has another address
		VerifyConnection:   s.verifyPeer,
	}
}

// verifyPeer checks that the CA issued the certificate of the peer and that its
// extended key usage is for servers, as it is for all daemons.
func (s *Store) verifyPeer(cs tls.ConnectionState) error {
	if len(cs.PeerCertificates) == 0 {
		return &Error{"verify", KindPeer, errors.New("peer sent no certificate")}
	}
	opts := x509.VerifyOptions{
		Roots:         s.current.Load().caPool,
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

// CallerServerTLS returns the TLS configuration of an agent's server for callers.
func (s *Store) CallerServerTLS() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &s.current.Load().callerCert, nil
		},
	}
}
