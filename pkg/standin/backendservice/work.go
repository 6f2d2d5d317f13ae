package backendservice

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"egretline.example/egretline/pkg/guard"
)

// Headers of the protocol between a node and a backend server.
const (
	headerRequestID = "Egretline-Request-Id"
	headerTenant    = "Egretline-Tenant"
	headerTimeout   = "Egretline-Timeout-Ms"
	headerRefused   = "Egretline-Refused"
	headerLeaving   = "Egretline-Leaving"
)

// coldStartFactor multiplies the service time during a cold start.
const coldStartFactor = 10

// plan is what the faults do to one request.
type plan struct {
	refuse   string
	leaving  bool
	stall    bool
	status   int
	truncate bool
	short    bool
	corrupt  bool
	crossed  bool
	service  time.Duration
}

func (s *Server) work(w http.ResponseWriter, r *http.Request) {
	// The body is read first: net/http reports a closed connection through the context only after that.
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	ctx, cancel := deadline(r)
	defer cancel()
	p := s.plan(r)
	if p.leaving {
		w.Header().Set(headerLeaving, "true")
	}
	w.Header().Set("Server", s.settings.Name)
	w.Header().Set(headerRequestID, r.Header.Get(headerRequestID))
	if p.refuse == "" && !s.enter() {
		p.refuse = "shed"
	}
	if p.refuse != "" {
		s.refuse(w, p.refuse)
		return
	}
	if !s.takeSlot(ctx) {
		s.refuse(w, "shed")
		return
	}
	defer s.leaveSlot()
	s.run(ctx, w, r, p)
}

// plan draws what happens to the request.
func (s *Server) plan(r *http.Request) plan {
	p := plan{service: s.serviceTime(r.URL.Path)}
	s.state.Write(guard.Held{}, func(_ guard.Held, v *state) {
		v.counts.Requests++
		f := v.faults
		age := time.Since(v.set)
		hit := func(fraction float64) bool { return fraction > 0 && v.random.Float64() < fraction }
		p.leaving = f.Leaving || f.Draining
		p.stall = hit(f.StallFraction)
		p.truncate = hit(f.TruncateFraction)
		p.short = hit(f.ShortFraction)
		p.corrupt = hit(f.CorruptFraction)
		p.crossed = hit(f.CrossedFraction)
		p.service += time.Duration(f.SlowMs) * time.Millisecond
		if age < time.Duration(f.ColdStartMs)*time.Millisecond {
			p.service *= coldStartFactor
		}
		if hit(f.ErrorFraction) || flapping(f, age) {
			p.status = f.ErrorStatus
			if p.status == 0 {
				p.status = http.StatusInternalServerError
			}
		}
		if hit(f.ShedFraction) {
			p.refuse = "shed"
		}
		if f.Draining {
			p.refuse = "draining"
		}
	})
	return p
}

// flapping says whether the failing half of the flap period is on. The first half after the fault was set fails.
func flapping(f Faults, age time.Duration) bool {
	period := time.Duration(f.FlapPeriodMs) * time.Millisecond
	return period > 0 && age%period < period/2
}

func (s *Server) serviceTime(path string) time.Duration { return s.profile(path).ServiceTime }

func (s *Server) profile(path string) Profile {
	var best Profile
	for _, p := range s.settings.Profiles {
		if strings.HasPrefix(path, p.Prefix) && len(p.Prefix) >= len(best.Prefix) {
			best = p
		}
	}
	return best
}

// enter counts the request as waiting. It returns false if too many wait.
func (s *Server) enter() bool {
	ok := false
	s.state.Write(guard.Held{}, func(_ guard.Held, v *state) {
		ok = v.waiting < s.settings.Queue || v.running < s.settings.Slots
		if ok {
			v.waiting++
		}
	})
	return ok
}

func (s *Server) takeSlot(ctx context.Context) bool {
	taken := false
	select {
	case s.slots <- struct{}{}:
		taken = true
	case <-ctx.Done():
	}
	s.state.Write(guard.Held{}, func(_ guard.Held, v *state) {
		v.waiting--
		if taken {
			v.running++
		}
	})
	return taken
}

func (s *Server) leaveSlot() {
	s.state.Write(guard.Held{}, func(_ guard.Held, v *state) { v.running-- })
	<-s.slots
}

func (s *Server) refuse(w http.ResponseWriter, reason string) {
	s.state.Write(guard.Held{}, func(_ guard.Held, v *state) { v.counts.Refused++ })
	w.Header().Set(headerRefused, reason)
	w.Header().Set("Retry-After", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (s *Server) run(ctx context.Context, w http.ResponseWriter, r *http.Request, p plan) {
	index := s.begin(r)
	if p.stall {
		s.stall(ctx)
	}
	if !wait(ctx, p.service) {
		s.end(index, true)
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	s.end(index, false)
	if p.status != 0 {
		w.WriteHeader(p.status)
		return
	}
	s.respond(w, r, p)
}

// begin records the run. It counts from here on, even if no response is ever sent.
func (s *Server) begin(r *http.Request) int {
	run := Run{
		RequestID:      r.Header.Get(headerRequestID),
		IdempotencyKey: r.Header.Get("Idempotency-Key"),
		Tenant:         r.Header.Get(headerTenant),
		Method:         r.Method,
		URI:            r.URL.RequestURI(),
		Started:        time.Now(),
	}
	index := 0
	s.state.Write(guard.Held{}, func(_ guard.Held, v *state) {
		index = len(v.runs)
		v.runs = append(v.runs, run)
		v.counts.Runs++
	})
	return index
}

func (s *Server) end(index int, canceled bool) {
	s.state.Write(guard.Held{}, func(_ guard.Held, v *state) {
		v.runs[index].Finished = !canceled
		v.runs[index].Canceled = canceled
		if canceled {
			v.counts.Canceled++
		}
	})
}

// stall holds the request until the stall fault is cleared or the request ends.
func (s *Server) stall(ctx context.Context) {
	for {
		var changed chan struct{}
		stalled := false
		s.state.Read(guard.Held{}, func(_ guard.Held, v *state) {
			changed = v.changed
			stalled = v.faults.StallFraction > 0
		})
		if !stalled {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// respond writes the body with its digest, and breaks it as the plan says.
func (s *Server) respond(w http.ResponseWriter, r *http.Request, p plan) {
	echo := s.echo(r, p.crossed)
	body := Body(echo, s.profile(r.URL.Path).BodyBytes)
	w.Header().Set(headerRequestID, echo.RequestID)
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Digest", Digest(body))
	switch {
	case p.truncate:
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		s.write(w, body[:len(body)/2])
		panic(http.ErrAbortHandler)
	case p.short:
		s.write(w, body[:len(body)/2])
		return
	case p.corrupt:
		body[len(body)-1] ^= 1
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	s.write(w, body)
}

func (s *Server) write(w http.ResponseWriter, body []byte) {
	if _, err := io.Copy(w, bytes.NewReader(body)); err != nil {
		return
	}
	if err := http.NewResponseController(w).Flush(); err != nil {
		return
	}
}

// echo returns the identity of the request, or that of an earlier one if the response is crossed.
func (s *Server) echo(r *http.Request, crossed bool) Echo {
	own := Echo{
		RequestID: r.Header.Get(headerRequestID),
		Tenant:    r.Header.Get(headerTenant),
		Method:    r.Method,
		URI:       r.URL.RequestURI(),
		Server:    s.settings.Name,
	}
	sent := own
	s.state.Write(guard.Held{}, func(_ guard.Held, v *state) {
		if crossed && v.last.RequestID != "" {
			sent = v.last
		}
		v.last = own
	})
	return sent
}

// Body returns the response body for the echo: one line of JSON, then filler up to the size.
func Body(e Echo, size int) []byte {
	line, err := json.Marshal(e)
	if err != nil {
		return nil
	}
	body := line
	body = append(body, '\n')
	if missing := size - len(body); missing > 0 {
		body = append(body, bytes.Repeat([]byte("0123456789abcdef"), missing/16+1)[:missing]...)
	}
	return body
}

// Digest returns the value of the header Content-Digest (RFC 9530) with SHA-256.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return "sha-256=:" + base64.StdEncoding.EncodeToString(sum[:]) + ":"
}

// deadline returns the context of the request, bounded by the timeout that the node announced.
func deadline(r *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.ParseInt(r.Header.Get(headerTimeout), 10, 64)
	if err != nil || ms <= 0 {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
}

// wait returns false if the context ends before the duration is over.
func wait(ctx context.Context, d time.Duration) bool {
	if ctx.Err() != nil {
		return false
	}
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
