// Package flowtable implements an agent's table of the flows that its host
// holds. The table decides what happens to each packet to and from the host. It
// is authoritative for flow ownership, because only the agent sees both
// directions of a flow.
//
// If the agent restarts while its host keeps running, the table is incomplete at
// first. Packets of unknown flows are then forwarded to the host, which bounces
// those of flows that it does not hold.
//
// The package performs no I/O and reads no clock: methods take packets, reports
// and the current time, and return the actions to carry out.
package flowtable
