package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/url"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/wisteriacrank/wisteriacrank/internal/platform"
	"github.com/wisteriacrank/wisteriacrank/internal/standin"
	"github.com/wisteriacrank/wisteriacrank/pkg/result"
)

func exampleText(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile("../../examples/demo/document.ini")
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// send calls the handler and decodes its response: Accepted or Problem.
func send(h http.Handler, method, target, body string) (Accepted, *Problem) {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(method, target, strings.NewReader(body)))
	if w.Code != http.StatusOK {
		p := &Problem{}
		_ = json.Unmarshal(w.Body.Bytes(), p)
		return Accepted{}, p
	}
	var a Accepted
	_ = json.Unmarshal(w.Body.Bytes(), &a)
	return a, nil
}

func put(h http.Handler, version uint64, id, text string) (Accepted, *Problem) {
	return send(h, "PUT", fmt.Sprintf("/v1/documents/trial?if-version=%d&write-id=%s&author=ana", version, url.QueryEscape(id)), text)
}

// lateStore times out on the first write and applies it only just before the
// write with number applyBeforePut, or never if that is 0.
type lateStore struct {
	platform.Store
	puts, applyBeforePut int
	applyFirst           func()
}

func (s *lateStore) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
	s.puts++
	if s.puts == 1 {
		s.applyFirst = func() { _, _ = s.Store.Put(ctx, key, value, ifVersion) }
		return 0, platform.ErrUncertain
	}
	if s.puts == s.applyBeforePut {
		s.applyFirst()
	}
	return s.Store.Put(ctx, key, value, ifVersion)
}

func newStore(t *testing.T) (*standin.Store, *platform.Client) {
	store := standin.NewStore()
	server := httptest.NewServer(store.Handler())
	t.Cleanup(server.Close)
	return store, platform.NewClient(server.URL)
}

// Guards against a write that arrives after its timeout and takes effect twice
// or is reported as a conflict with itself.
func TestLateWriteTakesEffectOnce(t *testing.T) {
	for name, applyBefore := range map[string]int{"never arrives": 0, "arrives before the repeated write": 2} {
		t.Run(name, func(t *testing.T) {
			_, client := newStore(t)
			store := &lateStore{Store: client, applyBeforePut: applyBefore}
			accepted, refused := put(NewHandler(store), 0, "w1", exampleText(t))
			if refused != nil || accepted.Version != 1 {
				t.Errorf("accepted %+v, refused %v", accepted, refused)
			}
		})
	}
}

// Guards against a command that is carried out twice when it is sent again to
// another agent, also after other changes of the object.
func TestRepeatedCommandIsOneWrite(t *testing.T) {
	_, client := newStore(t)
	text := exampleText(t)
	for i := range 2 {
		if a, refused := put(NewHandler(client), 0, "w1", text); refused != nil || a.Version != 1 || a.ReadBack != (i > 0) {
			t.Fatalf("accepted %+v, refused %v", a, refused)
		}
	}
	const promote = "/v1/promotions?from=trial&from-version=1&to=production&if-version=0&write-id=p1&author=bo"
	if a, refused := send(NewHandler(client), "POST", promote, ""); refused != nil || a.Version != 2 {
		t.Fatalf("accepted %+v, refused %v", a, refused)
	}
	if a, refused := put(NewHandler(client), 1, "w2", text+"; edited\n"); refused != nil || a.Version != 3 {
		t.Fatalf("accepted %+v, refused %v", a, refused)
	}
	for method, target := range map[string]string{"PUT": "/v1/documents/trial?if-version=0&write-id=w1", "POST": promote} {
		if a, refused := send(NewHandler(client), method, target, text); refused != nil || !a.ReadBack {
			t.Errorf("%s sent again: accepted %+v, refused %v", method, a, refused)
		}
	}
	stale := strings.Replace(promote, "p1", "p2", 1)
	if _, refused := send(NewHandler(client), "POST", stale, ""); refused == nil || refused.Code != result.Conflict || refused.Winner.Version != 3 {
		t.Errorf("promotion of a version that trial no longer has: %v, want a conflict with version 3", refused)
	}
}

// Guards against parameters that the API accepts although they are invalid, and
// against a change of production that was not in trial.
func TestCommandsAreChecked(t *testing.T) {
	_, client := newStore(t)
	h := NewHandler(client)
	for target, code := range map[string]result.Code{
		"PUT /v1/documents/production?if-version=0":                                 result.BadCommand,
		"PUT /v1/documents/trial":                                                   result.BadCommand,
		"PUT /v1/documents/trial?if-version=18446744073709551615":                   result.BadCommand,
		"PUT /v1/documents/trial?if-version=0&author=a%20b":                         result.BadCommand,
		"PUT /v1/documents/trial?if-version=0":                                      result.DocumentInvalid,
		"POST /v1/promotions?from=trial&to=trial&if-version=0&from-version=1":       result.BadCommand,
		"POST /v1/promotions?from=trial&to=production&if-version=0":                 result.BadCommand,
		"POST /v1/promotions?from=trial&to=production&if-version=0&from-version=19": result.NotFound,
		"GET /v1/documents/trial":                                                   result.NotFound,
		"GET /v1/status":                                                            result.NotFound,
	} {
		method, path, _ := strings.Cut(target, " ")
		if _, refused := send(h, method, path, "[environment]"); refused == nil || refused.Code != code {
			t.Errorf("%s: %v, want %v", target, refused, code)
		}
	}
}

type attempt struct {
	base uint64
	id   string
}

// register is the sequential model of an environment's object: a change whose
// base is the current version is accepted, any other is refused.
var register = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		base, version := input.(attempt).base, output.(uint64)
		if version == 0 {
			return state.(uint64) != base, state
		}
		return state.(uint64) == base && version > base, version
	},
}

// Guards against two operators whose changes of the same version are both
// accepted, and against a conflict that is reported for an accepted change
// because the store's response was lost.
func TestRacingPromotionsAreLinearizable(t *testing.T) {
	store, client := newStore(t)
	text := exampleText(t)
	const operators, rounds = 6, 8
	var mu sync.Mutex
	var history []porcupine.Operation
	var group sync.WaitGroup
	start := time.Now()
	for operator := range operators {
		h := NewHandler(client)
		group.Go(func() {
			base := uint64(0)
			for round := range rounds {
				if round%2 == 0 {
					store.SetFaults(standin.Faults{LoseResponses: 1})
				}
				in := attempt{base, fmt.Sprintf("w-%d-%d", operator, round)}
				called := time.Since(start)
				accepted, refused := put(h, in.base, in.id, text)
				returned := time.Since(start)
				base = accepted.Version
				if refused != nil && (refused.Code != result.Conflict || refused.Winner == nil) {
					t.Errorf("refused: %v", refused)
					return
				}
				if refused != nil {
					base = refused.Winner.Version
				}
				mu.Lock()
				history = append(history, porcupine.Operation{ClientId: operator, Input: in, Call: int64(called), Output: accepted.Version, Return: int64(returned)})
				mu.Unlock()
			}
		})
	}
	group.Wait()
	if porcupine.CheckOperationsTimeout(register, history, time.Minute) != porcupine.Ok {
		t.Errorf("history of %d changes is not linearizable", len(history))
	}
}
