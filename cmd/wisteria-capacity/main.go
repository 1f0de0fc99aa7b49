// Command wisteria-capacity measures the cost of the system's components on this
// machine, and renders the tables of docs/CAPACITY.md from the results.
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
