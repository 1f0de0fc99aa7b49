package bench

import (
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/document"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

// Deployment is the size and the load of one installation of the design page.
type Deployment struct {
	Name    string
	Regions []model.Region
	// RegionShare is the share of the callers per home region. The shares
	// differ, so that the regions differ in load.
	RegionShare []float64
	EntryHosts  []int // per region
	Services    []Service
	Ranks       []document.Rank
	// CallerDelay, DomainDelay and RegionDelay are the one-way delays between
	// caller and entry host, between failure domains and between regions.
	CallerDelay time.Duration
	DomainDelay time.Duration
	RegionDelay time.Duration
	// LinkBytes is the limit of a link in bytes per second and direction.
	LinkBytes    float64
	MoveCap      float64
	MoveInterval time.Duration
}

// Service is one service of a deployment.
type Service struct {
	Name        model.Service
	Servers     int
	Slots       int
	Connections int
	Work        []Work
}

// Work is the load that one rank puts on a service.
type Work struct {
	Rank int
	// Share is the rank's share of the service's slot time without a flood.
	Share float64
	// RunTime is the mean run time.
	RunTime    time.Duration
	Body       int // bytes
	Idempotent bool
}

// Positions of the ranks in Deployment.Ranks.
const (
	rankCheck = iota
	rankOrder
	rankUpload
)

const (
	failureDomains = 2
	// responseBytes is the size of every response.
	responseBytes = 2 << 10
	// gigabitPerSecond is 1 Gbit/s in bytes per second.
	gigabitPerSecond = 1e9 / 8
)

// Deployments returns the two installations of the design page in full size.
func Deployments() []Deployment {
	return []Deployment{ceuLigadoDeployment(), sweepSewaDeployment()}
}

func ceuLigadoDeployment() Deployment {
	return Deployment{
		Name:        "ceu-ligado",
		Regions:     []model.Region{"lis", "opo", "fnc"},
		RegionShare: []float64{0.40, 0.32, 0.28},
		EntryHosts:  []int{7, 7, 6},
		Services: []Service{
			{Name: "passdesk", Servers: 20, Slots: 3, Connections: 800, Work: []Work{
				{Rank: rankCheck, Share: 0.40, RunTime: 20 * time.Millisecond, Body: 1 << 10, Idempotent: true},
				{Rank: rankOrder, Share: 0.25, RunTime: 60 * time.Millisecond, Body: 4 << 10},
				{Rank: rankUpload, Share: 0.35, RunTime: 500 * time.Millisecond, Body: 256 << 10, Idempotent: true},
			}},
			{Name: "logvault", Servers: 12, Slots: 3, Connections: 800, Work: []Work{
				{Rank: rankCheck, Share: 0.20, RunTime: 20 * time.Millisecond, Body: 1 << 10, Idempotent: true},
				{Rank: rankUpload, Share: 0.80, RunTime: 800 * time.Millisecond, Body: 1 << 20, Idempotent: true},
			}},
		},
		Ranks: []document.Rank{
			{Name: "check", Priority: 1, Deadline: 400 * time.Millisecond, GuaranteedShare: 0.5, QueueLimit: 100},
			{Name: "purchase", Priority: 2, Deadline: 3 * time.Second, GuaranteedShare: 0.3, QueueLimit: 100},
			{Name: "upload", Priority: 3, Deadline: 30 * time.Second, GuaranteedShare: 0.15, QueueLimit: 500},
		},
		CallerDelay:  8 * time.Millisecond,
		DomainDelay:  1500 * time.Microsecond,
		RegionDelay:  35 * time.Millisecond,
		LinkBytes:    4 * gigabitPerSecond,
		MoveCap:      0.10,
		MoveInterval: time.Second,
	}
}

func sweepSewaDeployment() Deployment {
	return Deployment{
		Name:        "sweep-sewa",
		Regions:     []model.Region{"bagmati", "gandaki", "koshi"},
		RegionShare: []float64{0.40, 0.32, 0.28},
		EntryHosts:  []int{7, 7, 6},
		Services: []Service{
			{Name: "booking-desk", Servers: 16, Slots: 4, Connections: 650, Work: []Work{
				{Rank: rankCheck, Share: 0.25, RunTime: 15 * time.Millisecond, Body: 1 << 10, Idempotent: true},
				{Rank: rankOrder, Share: 0.35, RunTime: 80 * time.Millisecond, Body: 8 << 10},
				{Rank: rankUpload, Share: 0.40, RunTime: 600 * time.Millisecond, Body: 512 << 10, Idempotent: true},
			}},
			{Name: "inspection-log", Servers: 12, Slots: 4, Connections: 650, Work: []Work{
				{Rank: rankCheck, Share: 0.20, RunTime: 15 * time.Millisecond, Body: 1 << 10, Idempotent: true},
				{Rank: rankUpload, Share: 0.80, RunTime: 900 * time.Millisecond, Body: 2 << 20, Idempotent: true},
			}},
		},
		Ranks: []document.Rank{
			{Name: "check", Priority: 1, Deadline: 500 * time.Millisecond, GuaranteedShare: 0.3, QueueLimit: 100},
			{Name: "booking", Priority: 2, Deadline: 4 * time.Second, GuaranteedShare: 0.45, QueueLimit: 100},
			{Name: "upload", Priority: 3, Deadline: 30 * time.Second, GuaranteedShare: 0.2, QueueLimit: 500},
		},
		CallerDelay:  time.Millisecond,
		DomainDelay:  1500 * time.Microsecond,
		RegionDelay:  12 * time.Millisecond,
		LinkBytes:    4 * gigabitPerSecond,
		MoveCap:      0.10,
		MoveInterval: time.Second,
	}
}
