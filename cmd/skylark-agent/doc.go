// Command skylark-agent is the daemon that runs beside a target. With the settings
// file of the users' platform it delivers the packets of flows to the host on its
// VM. With its own TOML file it terminates the QUIC sessions of callers and
// controls the admission of their requests.
package main
