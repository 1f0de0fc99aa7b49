package entry

import (
	"encoding/json"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/operator"
	"github.com/wisteriacrank/wisteriacrank/pkg/drain"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
	"github.com/wisteriacrank/wisteriacrank/pkg/result"
)

// refusalWindow is the period over which refusals are counted.
const refusalWindow = time.Second

// refusalMeter counts the refusals of each rank in the latest full window.
type refusalMeter struct {
	start             time.Time
	current, previous map[model.Rank]int
}

func (m *refusalMeter) add(now time.Time, rank model.Rank) {
	m.rotate(now)
	m.current[rank]++
}

func (m *refusalMeter) perSecond(now time.Time, rank model.Rank) float64 {
	m.rotate(now)
	return float64(m.previous[rank]) / refusalWindow.Seconds()
}

func (m *refusalMeter) rotate(now time.Time) {
	elapsed := now.Sub(m.start)
	if elapsed < refusalWindow {
		return
	}
	m.previous = m.current
	if elapsed >= 2*refusalWindow {
		m.previous = nil
	}
	m.current, m.start = make(map[model.Rank]int), now
}

// isFlood reports whether a refusal with the code means that the rank gets more
// requests than its capacity.
func isFlood(code result.Code) bool {
	return code == result.QueueFull || code == result.WouldMissDeadline
}

// statusJSON returns the status of this host for operators, or nil if it cannot
// be encoded.
func (d *dispatcher) statusJSON(now time.Time) []byte {
	var details operator.HostDetails
	for _, s := range d.allSchedulers() {
		s.describe(now, &details)
	}
	d.guard.describe(now, d.region, &details)
	text, err := json.Marshal(details)
	if err != nil {
		return nil
	}
	return text
}

// allNames replaces the name of a service or region in a status entry that covers
// all of them.
const allNames = "*"

// describe counts the region's quarantined requests. Their records are hashes
// and do not name a service.
func (g *crashGuard) describe(now time.Time, region model.Region, details *operator.HostDetails) {
	g.mu.Lock()
	defer g.mu.Unlock()
	suspected, convicted := g.table.Counts(now)
	if suspected+convicted > 0 {
		details.Quarantined = append(details.Quarantined, operator.Quarantined{
			Region: string(region), Service: allNames, Suspected: suspected, Convicted: convicted,
		})
	}
}

func (s *scheduler) describe(now time.Time, details *operator.HostDetails) {
	s.mu.Lock()
	defer s.mu.Unlock()
	region, service := string(s.region), string(s.service.Name)
	s.describeDrains(now, details)
	if s.moves.Limit(now) > 0 {
		details.Moves = append(details.Moves, operator.MoveStatus{Region: region, Home: allNames, InUse: s.moves.InFlight(), Limit: s.moves.Limit(now)})
	}
	if reserved := s.ledger.Reserved(now); reserved > 0 {
		details.Grants = append(details.Grants, operator.GrantStatus{Region: region, To: allNames, Service: service, Slots: reserved})
	}
	for _, rank := range s.ranks {
		if rate := s.refusals.perSecond(now, rank.Name); rate > 0 {
			details.Floods = append(details.Floods, operator.FloodStatus{
				Region: region, Service: service, Rank: string(rank.Name),
				Waiting: s.queue.Waiting(rank.Name), RefusedPerSecond: rate,
			})
		}
	}
}

// drainCauses are the names of the sources of a drain on the status page.
var drainCauses = map[drain.Source]string{
	drain.Document:       "document",
	drain.HostList:       "host-list",
	drain.Health:         "health",
	drain.ResponseHeader: "response",
}

func (s *scheduler) describeDrains(now time.Time, details *operator.HostDetails) {
	inFlight := make(map[model.ServerID]int)
	for _, r := range s.running {
		inFlight[r.server]++
	}
	for name, spec := range s.specs {
		source, leaving := s.drains.Leaving(name, now)
		if !leaving {
			continue
		}
		details.Drains = append(details.Drains, operator.DrainStatus{
			Server:   string(name),
			Service:  string(spec.Service),
			Region:   string(spec.Region),
			Cause:    drainCauses[source],
			InFlight: inFlight[name],
			Seconds:  now.Sub(s.leavingSince[name]).Seconds(),
		})
	}
}
