// Command camphorhinge runs and drives a serving system for a fixed fleet.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/cloudwego/hertz/pkg/common/hlog"

	"example.org/camphorhinge/internal/cli/command"
)

func main() {
	// hertz writes to a logger of its own, to standard error; its lines on ordinary events are left out.
	hlog.SetLevel(hlog.LevelError)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	code := command.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
