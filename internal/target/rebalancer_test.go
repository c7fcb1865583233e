package target

import (
	"testing"
	"time"

	"github.com/go-quicktest/qt"
)

// countMoves calls ShouldMove every 10 ms for the duration d and returns the number of
// sessions that were asked to move.
func countMoves(r *Rebalancer, from time.Time, d time.Duration, self Load, others []Load) (moved int) {
	for t := from; t.Before(from.Add(d)); t = t.Add(10 * time.Millisecond) {
		if r.ShouldMove(t, self, others) {
			moved++
		}
	}
	return moved
}

func TestRebalancerLimitsRate(t *testing.T) {
	now := time.Unix(1000, 0)
	self := Load{agentAddr(1), 1, 700}
	others := []Load{{agentAddr(2), 1, 0}}
	var r Rebalancer
	qt.Check(t, qt.Equals(countMoves(&r, now, rebalanceDelay, self, others), 0)) // a new surplus is not acted on
	moved := countMoves(&r, now.Add(rebalanceDelay), 10*time.Second, self, others)
	qt.Check(t, qt.IsTrue(moved >= 130 && moved <= 160), qt.Commentf("%d moved, want about 2%% of 700 a second", moved))
}

func TestRebalancerIgnoresEvenLoad(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		self, other uint32
		weight      float64
	}{{10, 8, 1}, {500, 480, 1}, {200, 100, 2}, {5, 0, 1}} {
		var r Rebalancer
		self := Load{agentAddr(1), c.weight, c.self}
		moved := countMoves(&r, now, 10*time.Second, self, []Load{{agentAddr(2), 1, c.other}})
		qt.Check(t, qt.Equals(moved == 0, c.self != 5), qt.Commentf("%+v: %d moved", c, moved))
	}
	var r Rebalancer
	qt.Check(t, qt.Equals(countMoves(&r, now, 10*time.Second, Load{agentAddr(1), 1, 900}, nil), 0))
}

// TestRebalancersConverge checks that an empty target among loaded ones gets its
// fair share, and that sessions stop moving once the load is even.
func TestRebalancersConverge(t *testing.T) {
	sessions := []uint32{500, 500, 500, 0}
	rebalancers := make([]Rebalancer, len(sessions))
	now := time.Unix(1000, 0)
	last := now
	for range 6000 { // 60 s
		now = now.Add(10 * time.Millisecond)
		for i := range sessions {
			self := Load{agentAddr(i), 1, sessions[i]}
			var others []Load
			least := i
			for j, n := range sessions {
				if j == i {
					continue
				}
				others = append(others, Load{agentAddr(j), 1, n})
				if n < sessions[least] {
					least = j
				}
			}
			if rebalancers[i].ShouldMove(now, self, others) {
				sessions[i]--
				sessions[least]++
				last = now
			}
		}
	}
	for _, n := range sessions {
		qt.Check(t, qt.IsTrue(float64(n) <= 375*1.05+overloadSlack+1), qt.Commentf("%v", sessions))
	}
	qt.Check(t, qt.IsTrue(now.Sub(last) > 20*time.Second), qt.Commentf("last move %v before the end", now.Sub(last)))
}
