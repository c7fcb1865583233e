// Package registry records the addresses of daemons in the platform's store. A daemon
// that starts finds the others there when none of its configured seeds answers.
package registry
