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

// documentFile stands for the file name in the faults of a document.
const documentFile = "document"

const maxAuthorBytes = 64

func invalidInAuthor(r rune) bool { return !unicode.IsGraphic(r) || unicode.IsSpace(r) }

// command holds the parameters that all changes have.
type command struct {
	environment string
	ifVersion   uint64
	change      envobject.Change
}

// parseCommand reads the query parameters of a change. The client may set the
// write ID, so that a command that is sent again to another agent is one write.
func (h *Handler) parseCommand(environment string, query url.Values) (command, *Problem) {
	c := command{environment: environment}
	ifVersion, err := strconv.ParseUint(query.Get("if-version"), 10, 64)
	if err != nil || ifVersion == ^uint64(0) {
		return c, problem(result.BadCommand, "if-version %q; accepted: the version that the change replaces, 0 for none", query.Get("if-version"))
	}
	if id := query.Get("write-id"); id != "" && !inicheck.ValidName(id) {
		return c, problem(result.BadCommand, "write-id %q; accepted: %s", id, inicheck.AcceptedName)
	}
	if author := query.Get("author"); len(author) > maxAuthorBytes || strings.ContainsFunc(author, invalidInAuthor) {
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
		writeProblem(w, refused)
		return
	}
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, envobject.MaxDocumentBytes))
	if err != nil {
		writeProblem(w, problem(result.BadCommand, "read document: %v", err))
		return
	}
	c.change.Document = string(text)
	h.execute(r.Context(), w, c)
}

// promote copies the document of the source environment. The client gives the
// version that the operator tested there.
func (h *Handler) promote(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	c, refused := h.parseCommand(query.Get("to"), query)
	from := query.Get("from")
	if refused == nil && (!inicheck.ValidName(from) || from == c.environment) {
		refused = problem(result.BadCommand, "from %q; accepted: another environment", from)
	}
	if refused == nil {
		c.change.Document, c.change.Source, refused = h.sourceDocument(r.Context(), from, query.Get("from-version"))
	}
	if refused != nil && refused.Code == result.Conflict && h.respondIfRepeated(r.Context(), w, c) {
		return
	}
	if refused != nil {
		writeProblem(w, refused)
		return
	}
	h.execute(r.Context(), w, c)
}

// respondIfRepeated responds to a promotion that is sent again after its source
// changed and whose write ID is already in the target. It reports whether it
// did.
func (h *Handler) respondIfRepeated(ctx context.Context, w http.ResponseWriter, c command) bool {
	p := newPromotion(h.store, envobject.Key(c.environment), c.ifVersion, c.change)
	if err := p.read(ctx); err != nil || p.evaluate() != eventRepeated {
		return false
	}
	writeJSON(w, Accepted{Environment: c.environment, Version: p.newVersion, WriteID: c.change.WriteID, ReadBack: true})
	return true
}

func (h *Handler) sourceDocument(ctx context.Context, from, version string) (string, uint64, *Problem) {
	expected, err := strconv.ParseUint(version, 10, 64)
	if err != nil {
		return "", 0, problem(result.BadCommand, "from-version %q; accepted: the version of %s that was tested", version, from)
	}
	p := newPromotion(h.store, envobject.Key(from), expected, envobject.Change{})
	if err := p.read(ctx); err != nil {
		return "", 0, toProblem(err)
	}
	if p.object == nil {
		return "", 0, problem(result.NotFound, "environment %q has no document", from)
	}
	if p.version != expected {
		return "", 0, &Problem{Code: result.Conflict, Detail: from + " has another version than " + version, Winner: p.winner()}
	}
	return p.object.Document, expected, nil
}

// execute checks the document, runs the promotion and writes the response.
func (h *Handler) execute(ctx context.Context, w http.ResponseWriter, c command) {
	event := eventValid
	_, faults := document.Check(documentFile, c.change.Document)
	if len(faults) > 0 {
		event = eventInvalid
	}
	p := newPromotion(h.store, envobject.Key(c.environment), c.ifVersion, c.change)
	final := p.run(ctx, event)
	if final == stateAccepted {
		accepted := Accepted{Environment: c.environment, Version: p.newVersion, WriteID: c.change.WriteID, ReadBack: p.err != nil || p.writes == 0}
		h.logAccepted(accepted, c)
		writeJSON(w, accepted)
		return
	}
	refused := p.problem(final, faults)
	h.logRefused(refused, c)
	writeProblem(w, refused)
}

func (h *Handler) logAccepted(a Accepted, c command) {
	environment, generation := events.Environment(a.Environment), events.Generation(model.Generation(a.Version))
	if a.ReadBack {
		h.log.Emit(events.PromotionReadBack, environment, generation)
	}
	h.log.Emit(events.PromotionAccepted, environment, generation, events.Author(c.change.Author))
}

func (h *Handler) logRefused(p *Problem, c command) {
	environment := events.Environment(c.environment)
	switch {
	case p.Winner != nil:
		h.log.Emit(events.PromotionLostRace, environment, events.Generation(model.Generation(p.Winner.Version)), events.Author(p.Winner.Author))
	case p.Code == result.WriteUnresolved:
		h.log.Emit(events.StoreWriteUnsure, environment, events.Reason(p))
	default:
		h.log.Emit(events.PromotionRefused, environment, events.Author(c.change.Author), events.Code(p.Code), events.Count(len(p.Faults)))
	}
}

// problem returns the response for a final state other than accepted.
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
