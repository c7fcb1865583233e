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

// ServerName is the name in the certificate that agents present to callers.
const ServerName = "service.test"

// Authority is a certificate authority that also writes the credential files of
// daemons.
type Authority struct {
	dir        string
	cert       *x509.Certificate
	key        *ecdsa.PrivateKey
	nextSerial int64
}

// NewAuthority creates an authority and writes its certificates and secrets to dir.
func NewAuthority(dir string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, &Error{"create authority", KindFiles, err}
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
		return nil, &Error{"create authority", KindFiles, err}
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, &Error{"create authority", KindFiles, err}
	}
	a := &Authority{dir: dir, cert: cert, key: key, nextSerial: 2}
	return a, a.writeFiles()
}

func (a *Authority) writeFiles() error {
	if err := a.writePEM("ca.pem", "CERTIFICATE", a.cert.Raw); err != nil {
		return err
	}
	both := []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	if err := a.Issue("daemon", pkix.Name{CommonName: "daemon"}, both); err != nil {
		return err
	}
	if err := a.Issue("caller", pkix.Name{CommonName: ServerName}, both[:1]); err != nil {
		return err
	}
	if err := a.IssueOperator("operator", "skylarkturn-operators"); err != nil {
		return err
	}
	return a.WriteSecrets(1, 1)
}

// IssueOperator issues an operator certificate of a tenant and writes it to NAME.pem and
// its key to NAME.key.
func (a *Authority) IssueOperator(name, tenant string, units ...string) error {
	subject := pkix.Name{CommonName: name, Organization: []string{tenant}, OrganizationalUnit: units}
	return a.Issue(name, subject, []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth})
}

// Issue writes a new certificate to NAME.pem and its key to NAME.key.
func (a *Authority) Issue(name string, subject pkix.Name, usage []x509.ExtKeyUsage) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return &Error{"issue certificate", KindFiles, err}
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(a.nextSerial),
		Subject:      subject,
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(validity),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  usage,
		DNSNames:     []string{subject.CommonName},
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	a.nextSerial++
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return &Error{"issue certificate", KindFiles, err}
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return &Error{"issue certificate", KindFiles, err}
	}
	if err := a.writePEM(name+".key", "PRIVATE KEY", keyDER); err != nil {
		return err
	}
	return a.writePEM(name+".pem", "CERTIFICATE", der)
}

func (a *Authority) writePEM(name, kind string, der []byte) error {
	b := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	if err := os.WriteFile(a.path(name), b, 0o600); err != nil {
		return &Error{"write", KindFiles, err}
	}
	return nil
}

func (a *Authority) path(name string) string { return filepath.Join(a.dir, name) }

// WriteSecrets writes the secrets file, with flow keys 1 to highest and the number of
// the active one.
func (a *Authority) WriteSecrets(active, highest int) error {
	text := fmt.Sprintf("root_secret = %q\nactive_flow_key = %d\n", testSecretHex(0), active)
	for n := 1; n <= highest; n++ {
		text += fmt.Sprintf("\n[[flow_key]]\nnumber = %d\nsecret = %q\n", n, testSecretHex(n))
	}
	if err := os.WriteFile(a.path("secrets.toml"), []byte(text), 0o600); err != nil {
		return &Error{"write", KindFiles, err}
	}
	return nil
}

// testSecretHex returns a secret as secrets.toml has it. Secrets are the same in every
// run.
func testSecretHex(n int) string {
	return hex.EncodeToString([]byte(testSecret(n)))
}

func testSecret(n int) string { return fmt.Sprintf("stand-in secret number %08d", n) }

// Files returns the paths of a daemon's credential files.
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
