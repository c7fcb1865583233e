package standin

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/hex"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"skylarkturn/internal/credential"
)

const validity = 24 * time.Hour

// ServerName is the name in the certificate that agents show to callers.
const ServerName = "service.test"

// Authority signs certificates and writes the files that daemons read.
type Authority struct {
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	next int64
}

// NewAuthority makes an authority that writes into dir.
func NewAuthority(dir string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, &Error{"authority", KindFiles, err}
	}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "stand-in authority"},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(validity),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, &Error{"authority", KindFiles, err}
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, &Error{"authority", KindFiles, err}
	}
	a := &Authority{dir: dir, cert: cert, key: key, next: 2}
	return a, a.writeAll()
}

func (a *Authority) writeAll() error {
	if err := a.write("ca.pem", "CERTIFICATE", a.cert.Raw); err != nil {
		return err
	}
	both := []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	if err := a.Issue("daemon", pkix.Name{CommonName: "daemon"}, both); err != nil {
		return err
	}
	if err := a.Issue("caller", pkix.Name{CommonName: ServerName}, both[:1]); err != nil {
		return err
	}
	if err := a.Operator("operator", "skylarkturn-operators"); err != nil {
		return err
	}
	return a.WriteSecrets(1, 1)
}

// Operator issues the certificate of an operator of a tenant, into NAME.pem and
// NAME.key.
func (a *Authority) Operator(name, tenant string, units ...string) error {
	subject := pkix.Name{CommonName: name, Organization: []string{tenant}, OrganizationalUnit: units}
	return a.Issue(name, subject, []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth})
}

// Issue writes a new certificate and key into NAME.pem and NAME.key.
func (a *Authority) Issue(name string, subject pkix.Name, usage []x509.ExtKeyUsage) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return &Error{"issue", KindFiles, err}
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(a.next),
		Subject:      subject,
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(validity),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  usage,
		DNSNames:     []string{subject.CommonName},
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	a.next++
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return &Error{"issue", KindFiles, err}
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return &Error{"issue", KindFiles, err}
	}
	if err := a.write(name+".key", "PRIVATE KEY", keyDER); err != nil {
		return err
	}
	return a.write(name+".pem", "CERTIFICATE", der)
}

func (a *Authority) write(name, kind string, der []byte) error {
	b := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	if err := os.WriteFile(a.path(name), b, 0o600); err != nil {
		return &Error{"write", KindFiles, err}
	}
	return nil
}

func (a *Authority) path(name string) string { return filepath.Join(a.dir, name) }

// WriteSecrets writes a secrets file with flow keys of the numbers up to the
// highest, and the active one.
func (a *Authority) WriteSecrets(active, highest int) error {
	text := fmt.Sprintf("root_secret = %q\nactive_flow_key = %d\n", secretText(0), active)
	for n := 1; n <= highest; n++ {
		text += fmt.Sprintf("\n[[flow_key]]\nnumber = %d\nsecret = %q\n", n, secretText(n))
	}
	if err := os.WriteFile(a.path("secrets.toml"), []byte(text), 0o600); err != nil {
		return &Error{"write", KindFiles, err}
	}
	return nil
}

// Secrets of the stand-in are the same in every run.
func secretText(n int) string {
	return hex.EncodeToString([]byte(secretPlain(n)))
}

func secretPlain(n int) string { return fmt.Sprintf("stand-in secret number %08d", n) }

// Files returns the credential files of a daemon.
func (a *Authority) Files() credential.Files {
	return credential.Files{
		CA:         a.path("ca.pem"),
		Cert:       a.path("daemon.pem"),
		Key:        a.path("daemon.key"),
		CallerCert: a.path("caller.pem"),
		CallerKey:  a.path("caller.key"),
		Secrets:    a.path("secrets.toml"),
	}
}

// CallerTLS returns the TLS configuration of a caller.
func (a *Authority) CallerTLS() *tls.Config {
	pool := x509.NewCertPool()
	pool.AddCert(a.cert)
	return &tls.Config{RootCAs: pool, ServerName: ServerName, MinVersion: tls.VersionTLS13}
}
