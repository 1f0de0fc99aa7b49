package steering

import (
	"fmt"
	"testing"
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

// BenchmarkLookup measures one lookup with its JSON at several table sizes.
func BenchmarkLookup(b *testing.B) {
	for _, blocks := range []int{1000, 10000, 60000} {
		b.Run(fmt.Sprint(blocks), func(b *testing.B) {
			table := newFixture(blocks, 100).build()
			buf := make([]byte, 0, 8<<10)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				r := table.Lookup(blockAt(i % blocks))
				buf = r.AppendJSON(buf[:0], start)
			}
		})
	}
}

// BenchmarkBuild measures a build after the change of one host, and a build by a
// new builder.
func BenchmarkBuild(b *testing.B) {
	f := newFixture(60000, 244)
	f.build()
	b.Run("one-host", func(b *testing.B) {
		for i := 0; b.Loop(); i++ {
			f.setState(model.HostState(2+i%2), func(h model.HostRecord) bool { return h.Host == "lis-7" })
			f.after(time.Second)
		}
	})
	b.Run("everything", func(b *testing.B) {
		for b.Loop() {
			f.builder = NewBuilder()
			f.build()
		}
	})
}
