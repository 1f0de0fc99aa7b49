// Command wisteria-capacity measures what the parts of the system cost on this
// machine, and renders docs/CAPACITY.md from the figures.
package main

import (
	"fmt"
	"os"

	"github.com/wisteriacrank/wisteriacrank/internal/capacity"
)

func main() {
	if err := capacity.Command(os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "wisteria-capacity:", err)
		os.Exit(1)
	}
}
