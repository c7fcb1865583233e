// Package settings decodes TOML settings files strictly. An unknown key, a value of
// the wrong type or a value that fails a check is an error with the file, the line,
// the key and the allowed values.
package settings
