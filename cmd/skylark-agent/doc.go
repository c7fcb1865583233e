// Command skylark-agent is the daemon beside a target. With the settings file of
// the users' platform it gives packets of flows to the host on its VM; with a TOML
// file of its own it ends callers' QUIC sessions and admits their requests.
package main
