package bench

import "testing"

// Guards against a scheduler that serves fewer requests within their target
// than a baseline in any host scenario, and against requests that never end.
func TestProductPolicyIsNoWorseThanBaselines(t *testing.T) {
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
			// Only the two urgent classes: in a flood the least urgent class is
			// refused first.
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

// Guards against results that differ between runs with the same seed.
func TestHostRunsAreDeterministic(t *testing.T) {
	t.Parallel()
	scenario, policy := HostScenarios()[1], HostPolicies()[0]
	first, second := RunHost(scenario, policy, 1), RunHost(scenario, policy, 1)
	for i := range first.Classes {
		if first.Classes[i] != second.Classes[i] {
			t.Errorf("two runs with one seed differ: %+v, %+v", first.Classes[i], second.Classes[i])
		}
	}
}
