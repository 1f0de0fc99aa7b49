// Package lookup is the daemon that tells callers which entry hosts to use.
package lookup

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/wisteriacrank/wisteriacrank/internal/localstate"
	"github.com/wisteriacrank/wisteriacrank/internal/settings"
	"github.com/wisteriacrank/wisteriacrank/internal/wire"
	"github.com/wisteriacrank/wisteriacrank/internal/wire/wirepb"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
	"github.com/wisteriacrank/wisteriacrank/pkg/result"
)

// Answer is the answer to a look-up.
type Answer struct {
	Generation   uint64 `json:"generation"`
	CacheSeconds int    `json:"cache_seconds"`
	HomeRegion   string `json:"home_region"`
	Hosts        []Host `json:"hosts"`
}

// Host is one entry host of an answer, in order of preference.
type Host struct {
	Host          string `json:"host"`
	Address       string `json:"address"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	Incarnation   uint64 `json:"incarnation"`
	// Owner is the owner token for non-idempotent requests.
	Owner string `json:"owner"`
}

// Daemon is the look-up daemon.
type Daemon struct {
	settings    *settings.Settings
	incarnation model.Incarnation
	watcher     *localstate.Watcher
}

// New returns a look-up daemon for the host of the settings.
func New(s *settings.Settings) *Daemon {
	incarnation := model.NewIncarnation(time.Now())
	client := wire.NewClient(wire.Identity{
		Environment: s.Host.Environment,
		Role:        wirepb.Role_ROLE_LOOKUP,
		Host:        s.Host.ID,
		Incarnation: incarnation,
	}, s.Limits.MaxFrameBytes)
	return &Daemon{
		settings:    s,
		incarnation: incarnation,
		watcher:     localstate.NewWatcher(client, s.Listen.Agent),
	}
}

// Run serves until ctx ends.
func (d *Daemon) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", d.settings.Listen.Lookup)
	if err != nil {
		return fmt.Errorf("listen for look-ups: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/lookup", d.lookup)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute, MaxHeaderBytes: 8 << 10}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { d.watcher.Run(ctx); return nil })
	group.Go(func() error {
		d.watcher.Report(ctx, func() *wirepb.ReportLocal {
			return &wirepb.ReportLocal{LookupAddress: d.settings.Listen.Lookup, Incarnation: uint64(d.incarnation)}
		})
		return nil
	})
	group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("serve look-ups: %w", err)
		}
		return nil
	})
	group.Go(func() error {
		<-ctx.Done()
		return server.Shutdown(context.WithoutCancel(ctx))
	})
	return group.Wait()
}

func (d *Daemon) lookup(w http.ResponseWriter, r *http.Request) {
	view := d.watcher.Current()
	if view == nil || view.Document == nil {
		refuse(w, result.Errorf(result.NotReady, "no configuration yet"))
		return
	}
	service := model.Service(r.URL.Query().Get("service"))
	if _, ok := view.Document.Service(service); !ok {
		refuse(w, result.Errorf(result.UnknownService, "%q", service))
		return
	}
	block, err := netip.ParsePrefix(r.URL.Query().Get("block"))
	if err != nil {
		refuse(w, result.Errorf(result.BadRequest, "block: %v", err))
		return
	}
	answer := answerFor(view, block, time.Now())
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}

func answerFor(view *localstate.View, block netip.Prefix, now time.Time) Answer {
	answer := Answer{
		Generation:   uint64(view.Generation),
		CacheSeconds: int(view.Document.Environment.CacheTime.Seconds()),
		HomeRegion:   string(view.Document.Regions[0].Name),
		Hosts:        []Host{},
	}
	for _, b := range view.Document.Blocks {
		if b.Prefix.Overlaps(block) {
			answer.HomeRegion = string(b.Region)
		}
	}
	var others []Host
	for _, h := range view.Hosts {
		if h.State != model.HostReady {
			continue
		}
		host := Host{
			Host:          string(h.Host),
			Address:       h.CallerAddress,
			Region:        string(h.Region),
			FailureDomain: string(h.FailureDomain),
			Incarnation:   uint64(h.EntryIncarnation),
			Owner:         model.OwnerToken{Host: h.Host, Incarnation: h.EntryIncarnation, IssuedAt: now}.String(),
		}
		if host.Region == answer.HomeRegion {
			answer.Hosts = append(answer.Hosts, host)
		} else {
			others = append(others, host)
		}
	}
	answer.Hosts = append(answer.Hosts, others...)
	return answer
}

func refuse(w http.ResponseWriter, err *result.Error) {
	w.Header().Set("Wisteria-Result", fmt.Sprint(uint32(err.Code)))
	w.Header().Set("Wisteria-Class", err.Code.Class().String())
	http.Error(w, err.Error(), err.Code.HTTPStatus())
}
