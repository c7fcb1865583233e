package agent

import (
	"net"
	"testing"
	"time"

	"github.com/go-quicktest/qt"

	"skylarkturn/internal/link"
)

// A planned stop hung: the transport wakes its reader by setting a deadline, and
// a reader that waited already did not see it.
func TestReadDeadlineWakesReader(t *testing.T) {
	udp, err := link.ListenUDP("127.0.0.1:0")
	qt.Assert(t, qt.IsNil(err))
	defer udp.Close()
	c := newConn(udp)
	ended := make(chan error, 1)
	go func() {
		_, _, err := c.ReadFrom(make([]byte, 10))
		ended <- err
	}()
	for range 3 {
		qt.Assert(t, qt.IsNil(c.SetReadDeadline(time.Now().Add(time.Hour))))
	}
	qt.Assert(t, qt.IsNil(c.SetReadDeadline(time.Now())))
	ne, ok := (<-ended).(net.Error)
	qt.Assert(t, qt.IsTrue(ok))
	qt.Check(t, qt.IsTrue(ne.Timeout()))
}
