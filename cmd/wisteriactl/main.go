// Command wisteriactl is the operators' command line.
package main

import (
	"context"
	"os"

	"github.com/wisteriacrank/wisteriacrank/internal/ctl"
)

func main() {
	os.Exit(ctl.Main(context.Background(), os.Args, os.Stdout, os.Stderr))
}
