// Package packetbalancer implements the balancer for flows without a connection
// ID. It reads clients' packets and forwards them to the agents that package
// steering selects. It reads the operator's configuration from the platform's
// store or from another balancer, whichever has the newer version.
package packetbalancer
