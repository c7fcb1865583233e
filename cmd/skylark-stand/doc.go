// Command skylark-stand runs the system on loopback in a simulated environment: a
// demo, experiments with load and failures, capacity measurements, soak tests on
// the users' platform, and reports of runs.
package main
