package caller

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"egretline.example/egretline/pkg/configquery"
	"egretline.example/egretline/pkg/dispatchcmd"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/table"
	"egretline.example/egretline/service/api"
)

// refusingDispatcher admits no request.
type refusingDispatcher struct{}

func (refusingDispatcher) Admit(time.Time, *table.Ticket) error { return dispatchcmd.ClosingError{} }
func (refusingDispatcher) Cancel(*table.Ticket) bool            { return false }

// Guards against callers that are told "not run" of a request which may have run: another node got it first and did not
// answer, and this node, to which it was forwarded next, refuses it.
func TestRefusedRepeatedRequest(t *testing.T) {
	h := &Handler{
		Dispatcher: refusingDispatcher{}, Config: configquery.Query{Config: table.New(fleet.Host{ID: "h"}, "i").Config}, Log: zerolog.Nop(),
	}
	for header, want := range map[string]fleet.Outcome{"": fleet.NotRun, "true": fleet.Unknown} {
		r := httptest.NewRequest(http.MethodGet, api.PathForward+"/loans", http.NoBody)
		r.Header.Set(api.HeaderRepeated, header)
		t.Run("a node that isn't ready, repeated "+header, func(t *testing.T) {
			w := httptest.NewRecorder()
			h.ForwardedHandler().ServeHTTP(w, r)
			is.New(t).Equal(w.Header().Get(api.HeaderOutcome), string(want))
		})
		t.Run("a node that is stopping, repeated "+header, func(t *testing.T) {
			result := h.dispatch(r.Context(), httptest.NewRecorder(), r, request{Repeated: header == "true"})
			is.New(t).Equal(result.Outcome, want)
		})
	}
}
