// Package packetagent implements the agent for flows without a connection ID. It
// forwards packets from balancers to the host on its VM and the host's packets to
// clients, as package flowtable decides, and announces the host to balancers.
package packetagent
