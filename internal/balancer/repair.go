package balancer

import (
	"net/netip"
	"time"

	"skylarkturn/internal/control"
	"skylarkturn/internal/roster"
)

const (
	maxBucketsPerRepair = 2
	maxHashesPerMessage = 120 // the peer needlessly sends the records whose hashes are left out
	fullFetchRatio      = 2   // all members are fetched from a peer that knows more than this many times as many
)

// handleRepair is one step of the anti-entropy repair with a peer. The peers first
// compare the hashes of buckets, then those of the records in some of the buckets
// that differ. A balancer that knows far fewer members fetches all of them.
func (b *Balancer) handleRepair(now time.Time, m *control.Message) []outgoing {
	b.members.ApplyDirect(now, m.From)
	if len(m.BucketHashes) > 0 {
		return b.compareBuckets(m)
	}
	if m.Bucket < 0 || m.Bucket >= roster.BucketCount {
		return nil
	}
	out := b.memberMessages(m.From.Addr, control.Gossip, b.members.MissingRecords(m.Bucket, m.RecordHashes))
	if !m.NoReply {
		out = append(out, b.recordHashes(m.From.Addr, m.Bucket, true))
	}
	return out
}

// compareBuckets answers the bucket hashes of a peer with the record hashes of some
// buckets that differ. If the peer knows far more members, it queues a fetch of all of
// them instead.
func (b *Balancer) compareBuckets(m *control.Message) (out []outgoing) {
	if m.MemberCount > fullFetchRatio*b.members.Len() {
		b.queueFetch(fetchRequest{from: m.From.Addr, allMembers: true})
		return nil
	}
	for _, bucket := range b.members.DifferingBuckets(m.BucketHashes, maxBucketsPerRepair) {
		out = append(out, b.recordHashes(m.From.Addr, bucket, false))
	}
	return out
}

func (b *Balancer) recordHashes(to netip.AddrPort, bucket int, noReply bool) outgoing {
	hashes := b.members.BucketHashes(bucket)
	hashes = hashes[:min(len(hashes), maxHashesPerMessage)]
	return outgoing{to, &control.Message{Kind: control.Repair, From: b.selfRecord, Bucket: bucket, RecordHashes: hashes, NoReply: noReply}}
}
