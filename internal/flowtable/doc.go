// Package flowtable keeps, at an agent, the exact table of the flows that its
// host holds, and decides on each packet for the host and from it. The agent
// alone sees both directions, so it alone knows who owns a flow.
//
// After a restart beside a living host the table is incomplete: packets of
// unknown flows are then given to the host, which returns those that it does
// not hold.
//
// Its functions are pure: packets, reports and a time go in, actions come out.
package flowtable
