// Package settings reads TOML files strictly: an unknown key, a value of the
// wrong type or one that fails a check is an error that names file, line, key
// and what is allowed.
package settings
