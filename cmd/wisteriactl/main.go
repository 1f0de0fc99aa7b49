// Command wisteriactl is the command-line tool for operators.
package main

import (
	"context"
	"os"

	"github.com/wisteriacrank/wisteriacrank/internal/ctl"
)

func main() {
	os.Exit(ctl.Main(context.Background(), os.Args, os.Stdout, os.Stderr))
}
