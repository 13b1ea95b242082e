// Command camphorhinge runs and operates a serving system for a fixed fleet.
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
	// hertz logs through a process-wide logger of its own; suppress its lines about ordinary events.
	hlog.SetLevel(hlog.LevelError)
	// Its lines about requests that can't be parsed contain parts of them, such as API keys.
	hlog.SetSilentMode(true)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	code := command.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
