// Package script runs tests that are written as script files. Each line is a
// command; the lines after it that begin with "->" are its expected output.
package script
