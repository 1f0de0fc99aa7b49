package bench

import (
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/result"
)

// RankResult is the service of one rank in one run.
type RankResult struct {
	Rank string `json:"rank"`
	// GoodputBefore and Goodput are requests per second served in time before
	// and after the event.
	GoodputBefore float64 `json:"goodput_before"`
	Goodput       float64 `json:"goodput"`
	// Kept is Goodput against GoodputBefore.
	Kept       float64 `json:"kept"`
	DeadlineMs float64 `json:"deadline_ms"`
	P50Ms      float64 `json:"p50_ms"`
	P99Ms      float64 `json:"p99_ms"`
	// P99Ratio is P99Ms against the value before the event.
	P99Ratio float64             `json:"p99_ratio"`
	Refused  int                 `json:"refused"`
	Late     int                 `json:"late"`
	Unknown  int                 `json:"unknown"`
	Codes    map[result.Code]int `json:"codes"`
}

// LinkResult is the use of one direction of a link.
type LinkResult struct {
	From string `json:"from"`
	To   string `json:"to"`
	// HighestBytes is the highest count of bytes in one second.
	HighestBytes int     `json:"highest_bytes"`
	LimitBytes   float64 `json:"limit_bytes"`
}

// RunResult is one run.
type RunResult struct {
	User     string       `json:"user"`
	Scenario string       `json:"scenario"`
	Policy   string       `json:"policy"`
	Ranks    []RankResult `json:"ranks"`
	// SlotUse is the use after the event, SlotUseWaiting while a request
	// waits, Headroom the unused part, Wasted the part spent on runs that were
	// cancelled.
	SlotUse        float64 `json:"slot_use"`
	SlotUseWaiting float64 `json:"slot_use_waiting"`
	Headroom       float64 `json:"headroom"`
	Wasted         float64 `json:"wasted"`
	DrainMs        float64 `json:"drain_ms"`
	// MovedShed is the part of the moved requests that servers shed.
	MovedShed float64      `json:"moved_shed"`
	Links     []LinkResult `json:"links"`
	// Unanswered counts requests without any response.
	Unanswered int `json:"unanswered"`
}

// Run simulates one scenario of a user under a policy.
func Run(user User, scenario Scenario, policy Policy, seed int64) RunResult {
	w := newWorld(&user, &scenario, policy, seed)
	w.run()
	return w.result()
}

func (w *world) result() RunResult {
	res := RunResult{User: w.user.Name, Scenario: w.scenario.Name, Policy: w.policy.Name}
	for rank := range w.user.Ranks {
		res.Ranks = append(res.Ranks, w.rankResult(rank))
	}
	w.addUse(&res)
	res.DrainMs = w.drainTime()
	if w.rec.moved > 0 {
		res.MovedShed = float64(w.rec.shedRun) / float64(w.rec.moved)
	}
	for from := range w.user.Regions {
		for to := range w.user.Regions {
			if l := w.rec.links[[2]int{from, to}]; l != nil {
				res.Links = append(res.Links, LinkResult{
					From: string(w.user.Regions[from]), To: string(w.user.Regions[to]),
					HighestBytes: l.highest, LimitBytes: w.user.LinkBytes,
				})
			}
		}
	}
	res.Unanswered = w.rec.offered - w.rec.ended
	return res
}

func (w *world) rankResult(rank int) RankResult {
	before, after := w.rec.ranks[rank][phaseBefore], w.rec.ranks[rank][phaseAfter]
	s := w.scenario
	res := RankResult{
		Rank:          string(w.user.Ranks[rank].Name),
		GoodputBefore: float64(before.served) / (s.Event - s.Warmup).Seconds(),
		Goodput:       float64(after.served) / (s.End - s.Event).Seconds(),
		DeadlineMs:    milliseconds(w.user.Ranks[rank].Deadline),
		P50Ms:         float64(after.latency.ValueAtQuantile(50)) / 1000,
		P99Ms:         float64(after.latency.ValueAtQuantile(99)) / 1000,
		Refused:       after.refused,
		Late:          after.late,
		Unknown:       after.unknown,
		Codes:         after.codes,
	}
	if res.GoodputBefore > 0 {
		res.Kept = res.Goodput / res.GoodputBefore
	}
	if p99 := float64(before.latency.ValueAtQuantile(99)) / 1000; p99 > 0 {
		res.P99Ratio = res.P99Ms / p99
	}
	return res
}

func (w *world) addUse(res *RunResult) {
	var used, had, usedWait, hadWait time.Duration
	for _, h := range w.hosts {
		for _, d := range h.dispatchers {
			if d == nil || w.lost(h) {
				continue
			}
			used += d.use.used[phaseAfter]
			had += d.use.had[phaseAfter]
			usedWait += d.use.usedWait[phaseAfter]
			hadWait += d.use.hadWait[phaseAfter]
		}
	}
	res.SlotUse = ratio(used, had)
	res.SlotUseWaiting = ratio(usedWait, hadWait)
	res.Headroom = 1 - res.SlotUse
	res.Wasted = ratio(w.rec.wasted[phaseAfter], had)
}

// drainTime is the time until the last run on a drained server ended.
func (w *world) drainTime() float64 {
	var longest time.Duration
	for _, s := range w.servers {
		if s.drained {
			longest = max(longest, s.lastRun.Sub(epoch.Add(w.scenario.Event)))
		}
	}
	return milliseconds(longest)
}

func ratio(part, whole time.Duration) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
