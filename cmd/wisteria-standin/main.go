// Command wisteria-standin runs a stand-in for the platform's store or for a
// backend server. It is used only by tests and the demo.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/wisteriacrank/wisteriacrank/internal/standin"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := standin.Command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "wisteria-standin:", err)
		os.Exit(1)
	}
}
