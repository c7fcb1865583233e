// Package hostside is the agent for flows that carry no connection ID: it gives
// packets from balancers to the host on its VM and sends the host's packets to
// clients, has package flowtable decide on them, and announces the host.
package hostside
