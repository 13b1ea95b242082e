// Package command implements the command line: it binds flags and environment variables, runs the commands, and maps
// errors to exit codes.
package command
