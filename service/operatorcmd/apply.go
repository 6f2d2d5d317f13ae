// Package operatorcmd serves the operator commands, which change state.
package operatorcmd

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"egretline.example/egretline/pkg/configcmd"
	"egretline.example/egretline/pkg/configfile"
	"egretline.example/egretline/pkg/decide/fold"
	"egretline.example/egretline/service/api"
)

// maxApplyBytes bounds the body of an apply request. A file with all 37,000 tenants takes about 8 MB, and a third more
// in Base64.
const maxApplyBytes = 32 << 20

// Applier applies configuration files.
type Applier interface {
	Apply(ctx context.Context, file string, base int64, applyID string, contents []byte) (fold.Decision, error)
}

// Apply serves POST /operator/apply.
type Apply struct {
	Applier Applier
}

// Register adds the handler to the mux.
func (a *Apply) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST /operator/apply", a.apply)
}

func (a *Apply) apply(w http.ResponseWriter, r *http.Request) {
	var request api.ApplyRequest
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxApplyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&request); err != nil {
		writeJSON(w, http.StatusBadRequest, api.ApplyReply{Outcome: api.ApplyRefused, Reason: err.Error()})
		return
	}
	d, err := a.Applier.Apply(r.Context(), request.File, request.Base, request.ApplyID, request.Contents)
	reply := api.ApplyReply{
		ApplyID: request.ApplyID, File: request.File, Base: request.Base, Revision: d.Revision,
	}
	if err != nil {
		writeJSON(w, fillFailure(&reply, err), reply)
		return
	}
	reply.Outcome = string(d.Verdict)
	reply.Reason = fold.Reason(d)
	writeJSON(w, statusByOutcome[reply.Outcome], reply)
}

var statusByOutcome = map[string]int{
	api.ApplyAccepted: http.StatusOK,
	api.ApplyConflict: http.StatusConflict,
	api.ApplyRefused:  http.StatusUnprocessableEntity,
	api.ApplyUnknown:  http.StatusGatewayTimeout,
}

// fillFailure sets the outcome and reason of an apply that failed with err, and returns the HTTP status. The outcome is
// refused only if the apply certainly changed nothing, and unknown otherwise.
func fillFailure(reply *api.ApplyReply, err error) int {
	reply.Outcome = api.ApplyUnknown
	reply.Reason = err.Error()
	var invalid configfile.InvalidFileError
	if errors.As(err, &invalid) {
		reply.Outcome = api.ApplyRefused
		for _, p := range invalid.Problems() {
			reply.Problems = append(reply.Problems, api.Problem(p))
		}
	}
	if errors.As(err, &configcmd.RequestError{}) || errors.As(err, &configcmd.ReusedIDError{}) {
		reply.Outcome = api.ApplyRefused
	}
	return statusByOutcome[reply.Outcome]
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
