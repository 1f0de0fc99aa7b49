package bench

import "testing"

// Guards against a decision that serves callers worse than the ways that it
// replaced, in any of the host scenarios, and against requests without an end.
func TestHostsServeMoreThanTheWaysTheyReplaced(t *testing.T) {
	t.Parallel()
	const seed = 1
	for _, scenario := range HostScenarios() {
		byPolicy := make(map[string]HostResult)
		for _, policy := range HostPolicies() {
			r := RunHost(scenario, policy, seed)
			byPolicy[policy.Name] = r
			for _, c := range r.Classes {
				if ended := c.InTarget + c.Late + c.Refused + c.Failed; ended != c.Requests {
					t.Errorf("%s, %s: %d of %d requests for %s ended", scenario.Name, policy.Name, ended, c.Requests, c.Class)
				}
			}
		}
		product := byPolicy["product"]
		for name, other := range byPolicy {
			// The two urgent classes; the least urgent one gives way in a flood.
			for i, c := range product.Classes[:2] {
				if c.Share() < other.Classes[i].Share() {
					t.Errorf("%s: %s in target %.3f, with %s %.3f", scenario.Name, c.Class, c.Share(), name, other.Classes[i].Share())
				}
			}
			if product.WorstRegion < other.WorstRegion {
				t.Errorf("%s: worst region %.3f, with %s %.3f", scenario.Name, product.WorstRegion, name, other.WorstRegion)
			}
		}
	}
}

// Guards against figures that differ from run to run.
func TestHostRunsAreDeterministic(t *testing.T) {
	t.Parallel()
	scenario, policy := HostScenarios()[1], HostPolicies()[0]
	first, second := RunHost(scenario, policy, 1), RunHost(scenario, policy, 1)
	for i := range first.Classes {
		if first.Classes[i] != second.Classes[i] {
			t.Errorf("%+v, then %+v", first.Classes[i], second.Classes[i])
		}
	}
}
