// Package report draws runs of experiments, side by side, as one HTML page that
// needs no other file.
package report
