package retrybudget

import "testing"

// Guards against retries that multiply the load when all requests fail.
func TestRetriesStayBelowShare(t *testing.T) {
	const attempts = 1000
	b := New()
	retries := 0
	for range attempts {
		b.FirstAttempt()
		for b.Retry() {
			retries++
		}
	}
	if retries < Share*attempts || retries > Share*attempts+Burst {
		t.Errorf("%d retries for %d first attempts", retries, attempts)
	}
}
