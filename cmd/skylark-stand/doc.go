// Command skylark-stand runs the system with small stand-ins of what surrounds
// it, on loopback: a demo, experiments with load and failures, soaks on the users'
// platform, and reports of runs.
package main
