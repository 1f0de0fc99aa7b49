package operator

import (
	"context"
	"crypto/rand"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"unicode"

	"github.com/wisteriacrank/wisteriacrank/internal/envobject"
	"github.com/wisteriacrank/wisteriacrank/internal/events"
	"github.com/wisteriacrank/wisteriacrank/pkg/document"
	"github.com/wisteriacrank/wisteriacrank/pkg/inicheck"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
	"github.com/wisteriacrank/wisteriacrank/pkg/result"
)

// documentFile names the document in faults that the agent reports.
const documentFile = "document"

const maxAuthorBytes = 64

func notInAuthor(r rune) bool { return !unicode.IsGraphic(r) || unicode.IsSpace(r) }

// command holds the values that every change has.
type command struct {
	environment string
	ifVersion   uint64
	change      envobject.Change
}

// parseCommand reads the query of a change. The caller may give the write ID,
// so that the same command sent to another agent is one write.
func (h *Handler) parseCommand(environment string, query url.Values) (command, *Problem) {
	c := command{environment: environment}
	ifVersion, err := strconv.ParseUint(query.Get("if-version"), 10, 64)
	if err != nil || ifVersion == ^uint64(0) {
		return c, problem(result.BadCommand, "if-version %q; accepted: the version that the change replaces, 0 for none", query.Get("if-version"))
	}
	if id := query.Get("write-id"); id != "" && !inicheck.ValidName(id) {
		return c, problem(result.BadCommand, "write-id %q; accepted: %s", id, inicheck.AcceptedName)
	}
	if author := query.Get("author"); len(author) > maxAuthorBytes || strings.ContainsFunc(author, notInAuthor) {
		return c, problem(result.BadCommand, "author %q; accepted: up to %d printable characters without spaces", author, maxAuthorBytes)
	}
	if !inicheck.ValidName(environment) {
		return c, problem(result.BadCommand, "environment %q; accepted: %s", environment, inicheck.AcceptedName)
	}
	c.ifVersion = ifVersion
	c.change = envobject.Change{WriteID: query.Get("write-id"), Author: query.Get("author"), Accepted: h.now()}
	if c.change.WriteID == "" {
		c.change.WriteID = rand.Text()
	}
	if c.change.Author == "" {
		c.change.Author = "unknown"
	}
	return c, nil
}

func (h *Handler) putDocument(w http.ResponseWriter, r *http.Request) {
	c, refused := h.parseCommand(r.PathValue("environment"), r.URL.Query())
	if refused == nil && c.environment == Production {
		refused = problem(result.BadCommand, "environment %q changes by promotion only", Production)
	}
	if refused != nil {
		refuse(w, refused)
		return
	}
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, envobject.MaxDocumentBytes))
	if err != nil {
		refuse(w, problem(result.BadCommand, "read document: %v", err))
		return
	}
	c.change.Document = string(text)
	h.carryOut(r.Context(), w, c)
}

// promote copies the text that the source environment runs. The caller names
// the version that the operator saw there.
func (h *Handler) promote(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	c, refused := h.parseCommand(query.Get("to"), query)
	from := query.Get("from")
	if refused == nil && (!inicheck.ValidName(from) || from == c.environment) {
		refused = problem(result.BadCommand, "from %q; accepted: another environment", from)
	}
	if refused == nil {
		c.change.Document, c.change.Source, refused = h.source(r.Context(), from, query.Get("from-version"))
	}
	if refused != nil && refused.Code == result.Conflict && h.madeBefore(r.Context(), w, c) {
		return
	}
	if refused != nil {
		refuse(w, refused)
		return
	}
	h.carryOut(r.Context(), w, c)
}

// madeBefore answers a promotion that was already carried out under the same
// write ID and is sent again after the source changed.
func (h *Handler) madeBefore(ctx context.Context, w http.ResponseWriter, c command) bool {
	p := newPromotion(h.store, envobject.Key(c.environment), c.ifVersion, c.change)
	if err := p.read(ctx); err != nil || p.judge() != eventRepeated {
		return false
	}
	answer(w, Accepted{Environment: c.environment, Version: p.made, WriteID: c.change.WriteID, ReadBack: true})
	return true
}

func (h *Handler) source(ctx context.Context, from, version string) (string, uint64, *Problem) {
	seen, err := strconv.ParseUint(version, 10, 64)
	if err != nil {
		return "", 0, problem(result.BadCommand, "from-version %q; accepted: the version of %s that was tested", version, from)
	}
	p := newPromotion(h.store, envobject.Key(from), seen, envobject.Change{})
	if err := p.read(ctx); err != nil {
		return "", 0, toProblem(err)
	}
	if p.object == nil {
		return "", 0, problem(result.NotFound, "environment %q has no document", from)
	}
	if p.version != seen {
		return "", 0, &Problem{Code: result.Conflict, Detail: from + " has another version than " + version, Winner: p.winner()}
	}
	return p.object.Document, seen, nil
}

// carryOut checks the document and follows the promotion to its end.
func (h *Handler) carryOut(ctx context.Context, w http.ResponseWriter, c command) {
	event := eventValid
	_, faults := document.Check(documentFile, c.change.Document)
	if len(faults) > 0 {
		event = eventInvalid
	}
	p := newPromotion(h.store, envobject.Key(c.environment), c.ifVersion, c.change)
	final := p.run(ctx, event)
	if final == stateAccepted {
		accepted := Accepted{Environment: c.environment, Version: p.made, WriteID: c.change.WriteID, ReadBack: p.err != nil || p.writes == 0}
		h.logAccepted(accepted, c)
		answer(w, accepted)
		return
	}
	refused := p.problem(final, faults)
	h.logRefused(refused, c)
	refuse(w, refused)
}

func (h *Handler) logAccepted(a Accepted, c command) {
	where, generation := events.Environment(a.Environment), events.Generation(model.Generation(a.Version))
	if a.ReadBack {
		h.log.Emit(events.PromotionReadBack, where, generation)
	}
	h.log.Emit(events.PromotionAccepted, where, generation, events.Author(c.change.Author))
}

func (h *Handler) logRefused(p *Problem, c command) {
	where := events.Environment(c.environment)
	switch {
	case p.Winner != nil:
		h.log.Emit(events.PromotionLostRace, where, events.Generation(model.Generation(p.Winner.Version)), events.Author(p.Winner.Author))
	case p.Code == result.WriteUnresolved:
		h.log.Emit(events.StoreWriteUnsure, where, events.Reason(p))
	default:
		h.log.Emit(events.PromotionRefused, where, events.Author(c.change.Author), events.Code(p.Code), events.Count(len(p.Faults)))
	}
}

// problem returns what the operator is told about a final state.
func (p *promotion) problem(final string, faults []document.Fault) *Problem {
	switch final {
	case stateConflict:
		return &Problem{Code: result.Conflict, Detail: "another change was accepted first", Winner: p.winner()}
	case stateRefused:
		if len(faults) == 0 {
			return toProblem(p.err)
		}
		return &Problem{Code: result.DocumentInvalid, Detail: strconv.Itoa(len(faults)) + " faults", Faults: faults}
	case stateUnresolved:
		return problem(result.WriteUnresolved, "the write may have taken effect: %v", p.err)
	default:
		return problem(result.StoreUnavailable, "nothing was written: %v", p.err)
	}
}
