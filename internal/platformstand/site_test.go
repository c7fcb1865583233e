package platformstand

import (
	"net"
	"testing"

	"github.com/go-quicktest/qt"
)

// TestSiteReservesPorts checks that sockets which listen on all addresses don't
// get a port of the site: a UDP client of another test could take a host's port,
// and the host would fail to start.
func TestSiteReservesPorts(t *testing.T) {
	s, err := NewSite(Options{Dir: t.TempDir()})
	qt.Assert(t, qt.IsNil(err))
	defer s.Close()
	p := s.ports
	for _, port := range []uint16{p.packets, p.ready, p.control, p.outbound, p.app, p.inner, p.inner + 1} {
		conn, err := net.ListenUDP("udp4", &net.UDPAddr{Port: int(port)})
		qt.Check(t, qt.IsNotNil(err), qt.Commentf("port %d", port))
		if err == nil {
			_ = conn.Close()
		}
	}
}
