// Package operatorcmd serves the commands of operators, which change state.
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

// maxApply bounds the body of an apply in bytes. A file with all 37,000 tenants has about 8 MB, in Base64 a third more.
const maxApply = 32 << 20

// Applier applies configuration files.
type Applier interface {
	Apply(ctx context.Context, file string, base int64, applyID string, contents []byte) (fold.Decision, error)
}

// Apply serves POST /operator/apply.
type Apply struct {
	Applier Applier
}

// Register adds the command to the mux.
func (a *Apply) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST /operator/apply", a.apply)
}

func (a *Apply) apply(w http.ResponseWriter, r *http.Request) {
	var request api.ApplyRequest
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxApply))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&request); err != nil {
		write(w, http.StatusBadRequest, api.ApplyReply{Outcome: api.ApplyRefused, Reason: err.Error()})
		return
	}
	d, err := a.Applier.Apply(r.Context(), request.File, request.Base, request.ApplyID, request.Contents)
	reply := api.ApplyReply{
		ApplyID: request.ApplyID, File: request.File, Base: request.Base, Revision: d.Revision,
	}
	if err != nil {
		write(w, failed(&reply, err), reply)
		return
	}
	reply.Outcome = string(d.Verdict)
	reply.Reason = fold.Reason(d)
	write(w, statuses[reply.Outcome], reply)
}

var statuses = map[string]int{
	api.ApplyAccepted: http.StatusOK,
	api.ApplyConflict: http.StatusConflict,
	api.ApplyRefused:  http.StatusUnprocessableEntity,
	api.ApplyUnknown:  http.StatusGatewayTimeout,
}

// failed completes the reply to an apply without a verdict and returns the status. Only what is known to have changed
// nothing is refused; everything else is unknown.
func failed(reply *api.ApplyReply, err error) int {
	reply.Outcome = api.ApplyUnknown
	reply.Reason = err.Error()
	var check configfile.RefusedError
	if errors.As(err, &check) {
		reply.Outcome = api.ApplyRefused
		for _, p := range check.Problems() {
			reply.Problems = append(reply.Problems, api.Problem(p))
		}
	}
	if errors.As(err, &configcmd.RequestError{}) || errors.As(err, &configcmd.ReusedIDError{}) {
		reply.Outcome = api.ApplyRefused
	}
	return statuses[reply.Outcome]
}

func write(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
