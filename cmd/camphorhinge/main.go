// Command camphorhinge runs and drives a serving system for a fixed fleet.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"example.org/camphorhinge/internal/cli/command"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	code := command.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
