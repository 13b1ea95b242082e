// Package lines provides a rate-limited writer for log lines that never blocks the caller.
package lines
