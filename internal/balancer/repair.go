package balancer

import (
	"net/netip"
	"time"

	"skylarkturn/internal/control"
	"skylarkturn/internal/roster"
)

const (
	bucketsPerRepair = 2
	hashesPerMessage = 120 // records left out are sent without need
	fetchAllRatio    = 2   // times that a peer must know more members to be fetched from whole
)

// Compares views with a peer: first the hashes of the buckets, then those of the
// records in some buckets that differ. A balancer that knows little fetches all.
func (b *Balancer) repair(now time.Time, m *control.Message) []outgoing {
	b.members.ApplyDirect(now, m.From)
	if len(m.BucketHashes) > 0 {
		return b.compareBuckets(m)
	}
	if m.Bucket < 0 || m.Bucket >= roster.BucketCount {
		return nil
	}
	out := b.inChunks(m.From.Addr, control.Gossip, b.members.MissingRecords(m.Bucket, m.RecordHashes))
	if !m.NoReply {
		out = append(out, b.recordHashes(m.From.Addr, m.Bucket, true))
	}
	return out
}

func (b *Balancer) compareBuckets(m *control.Message) (out []outgoing) {
	if m.MemberCount > fetchAllRatio*b.members.Len() {
		b.want(pull{from: m.From.Addr, members: true})
		return nil
	}
	for _, bucket := range b.members.DifferingBuckets(m.BucketHashes, bucketsPerRepair) {
		out = append(out, b.recordHashes(m.From.Addr, bucket, false))
	}
	return out
}

func (b *Balancer) recordHashes(to netip.AddrPort, bucket int, reply bool) outgoing {
	hashes := b.members.BucketHashes(bucket)
	hashes = hashes[:min(len(hashes), hashesPerMessage)]
	return outgoing{to, &control.Message{Kind: control.Repair, From: b.me, Bucket: bucket, RecordHashes: hashes, NoReply: reply}}
}
