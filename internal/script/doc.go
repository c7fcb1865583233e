// Package script runs tests that are written as data files: each line is a
// command, and the lines below it that begin with "->" are what it gives.
package script
