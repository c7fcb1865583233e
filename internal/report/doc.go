// Package report renders runs of experiments side by side as a self-contained HTML
// page.
package report
