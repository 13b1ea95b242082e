// Package lines writes log lines without ever blocking the caller, and bounds their number.
package lines
