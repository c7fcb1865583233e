// Package packetbalancer implements the balancer for flows without a connection
// ID. It reads clients' packets, lets package steering decide where they go and
// forwards them to agents. It takes the operator's configuration from the
// platform's store or from another balancer, whichever has the newer version.
package packetbalancer
