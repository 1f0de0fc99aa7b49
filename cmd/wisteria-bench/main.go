// Command wisteria-bench runs the load scenarios of `make bench`.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/wisteriacrank/wisteriacrank/internal/bench"
)

func main() {
	if err := bench.Command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "wisteria-bench:", err)
		os.Exit(1)
	}
}
