package movecap

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for the property tests; -rapid.seed overrides it. The
// seed reproduces a failure, so failure files are disabled.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
