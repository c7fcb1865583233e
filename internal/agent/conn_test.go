package agent

import (
	"net"
	"testing"
	"time"

	"github.com/go-quicktest/qt"

	"skylarkturn/internal/udpio"
)

// TestReadDeadlineWakesReader guards against a graceful shutdown that hangs: the
// transport unblocks its reader by setting a read deadline, which must also apply
// to a ReadFrom already in progress.
func TestReadDeadlineWakesReader(t *testing.T) {
	udp, err := udpio.ListenUDP("127.0.0.1:0")
	qt.Assert(t, qt.IsNil(err))
	defer udp.Close()
	c := newConn(udp)
	result := make(chan error, 1)
	go func() {
		_, _, err := c.ReadFrom(make([]byte, 10))
		result <- err
	}()
	for range 3 {
		qt.Assert(t, qt.IsNil(c.SetReadDeadline(time.Now().Add(time.Hour))))
	}
	qt.Assert(t, qt.IsNil(c.SetReadDeadline(time.Now())))
	ne, ok := (<-result).(net.Error)
	qt.Assert(t, qt.IsTrue(ok))
	qt.Check(t, qt.IsTrue(ne.Timeout()))
}
