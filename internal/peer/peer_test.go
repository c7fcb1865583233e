package peer_test

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/go-quicktest/qt"
	"go.uber.org/goleak"

	"skylarkturn/internal/control"
	"skylarkturn/internal/credential"
	"skylarkturn/internal/peer"
	"skylarkturn/internal/roster"
	"skylarkturn/internal/service"
	"skylarkturn/internal/standin"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// handshakeDelay is longer than the delay before gRPC's second connection attempt.
const handshakeDelay = 150 * time.Millisecond

// slowListener accepts connections whose first read is delayed, as on a busy VM.
type slowListener struct{ net.Listener }

func (l slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &slowConn{Conn: c}, err
}

type slowConn struct {
	net.Conn
	delayed bool
}

func (c *slowConn) Read(b []byte) (int, error) {
	if !c.delayed {
		c.delayed = true
		time.Sleep(handshakeDelay)
	}
	return c.Conn.Read(b)
}

// emptyDirectory knows nothing.
type emptyDirectory struct{}

func (emptyDirectory) Services([]control.Generation, bool) []service.Service { return nil }
func (emptyDirectory) Members() []roster.Member                              { return nil }

// TestSlowHandshakeDoesNotFailCall checks that a call waits for a slow TLS handshake
// as long as its context allows.
func TestSlowHandshakeDoesNotFailCall(t *testing.T) {
	authority, err := standin.NewAuthority(t.TempDir())
	qt.Assert(t, qt.IsNil(err))
	creds, err := credential.Open(authority.Files())
	qt.Assert(t, qt.IsNil(err))
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	qt.Assert(t, qt.IsNil(err))
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- peer.Serve(ctx, slowListener{ln}, creds, emptyDirectory{}, nil) }()

	client := peer.NewClient(creds)
	_, err = client.Members(ctx, netip.MustParseAddrPort(ln.Addr().String()))
	qt.Check(t, qt.IsNil(err))
	client.Close()
	cancel()
	qt.Check(t, qt.IsNil(<-served))
}
