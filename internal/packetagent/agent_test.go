package packetagent

import (
	"net/netip"
	"testing"

	"github.com/go-quicktest/qt"
)

// TestPacketsOfOtherVMsAreNotTheHosts guards against packets of other senders that end
// or open flows in the name of the host.
func TestPacketsOfOtherVMsAreNotTheHosts(t *testing.T) {
	s := Settings{HostAddr: netip.MustParseAddrPort("10.2.0.12:8360")}
	for sender, want := range map[string]bool{"10.2.0.12": true, "127.0.0.1": true, "10.2.0.13": false, "100.64.0.7": false} {
		qt.Check(t, qt.Equals(s.isOnVM(netip.MustParseAddr(sender)), want), qt.Commentf("sender %s", sender))
	}
}
