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

// requestPlan holds the effects of the faults on one request.
type requestPlan struct {
	refusalReason string
	leaving       bool
	stall         bool
	status        int
	truncate      bool
	short         bool
	corrupt       bool
	crossed       bool
	serviceTime   time.Duration
}

func (s *Server) handleWork(w http.ResponseWriter, r *http.Request) {
	// The body is read first because net/http cancels the context of a closed connection only after that.
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	ctx, cancel := requestContext(r)
	defer cancel()
	p := s.drawPlan(r)
	if p.leaving {
		w.Header().Set(headerLeaving, "true")
	}
	w.Header().Set("Server", s.settings.Name)
	w.Header().Set(headerRequestID, r.Header.Get(headerRequestID))
	if p.refusalReason == "" && !s.enqueue() {
		p.refusalReason = "shed"
	}
	if p.refusalReason != "" {
		s.refuse(w, p.refusalReason)
		return
	}
	if !s.acquireSlot(ctx) {
		s.refuse(w, "shed")
		return
	}
	defer s.releaseSlot()
	s.run(ctx, w, r, p)
}

// drawPlan counts the request and draws the effects of the faults on it.
func (s *Server) drawPlan(r *http.Request) requestPlan {
	p := requestPlan{serviceTime: s.serviceTime(r.URL.Path)}
	s.state.Write(guard.Held{}, func(_ guard.Held, v *state) {
		v.counts.Requests++
		f := v.faults
		age := time.Since(v.faultsSetAt)
		affected := func(fraction float64) bool { return fraction > 0 && v.random.Float64() < fraction }
		p.leaving = f.Leaving || f.Draining
		p.stall = affected(f.StallFraction)
		p.truncate = affected(f.TruncateFraction)
		p.short = affected(f.ShortFraction)
		p.corrupt = affected(f.CorruptFraction)
		p.crossed = affected(f.CrossedFraction)
		p.serviceTime += time.Duration(f.SlowMs) * time.Millisecond
		if age < time.Duration(f.ColdStartMs)*time.Millisecond {
			p.serviceTime *= coldStartFactor
		}
		if affected(f.ErrorFraction) || inFailingHalf(f, age) {
			p.status = f.ErrorStatus
			if p.status == 0 {
				p.status = http.StatusInternalServerError
			}
		}
		if affected(f.ShedFraction) {
			p.refusalReason = "shed"
		}
		if f.Draining {
			p.refusalReason = "draining"
		}
	})
	return p
}

// inFailingHalf reports whether the flap period, counted from the time that the fault was set, is in its first half. All
// requests fail during that half.
func inFailingHalf(f Faults, age time.Duration) bool {
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

// enqueue counts the request as waiting. It returns false if the queue is full.
func (s *Server) enqueue() bool {
	ok := false
	s.state.Write(guard.Held{}, func(_ guard.Held, v *state) {
		ok = v.waiting < s.settings.Queue || v.running < s.settings.Slots
		if ok {
			v.waiting++
		}
	})
	return ok
}

func (s *Server) acquireSlot(ctx context.Context) bool {
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

func (s *Server) releaseSlot() {
	s.state.Write(guard.Held{}, func(_ guard.Held, v *state) { v.running-- })
	<-s.slots
}

func (s *Server) refuse(w http.ResponseWriter, reason string) {
	s.state.Write(guard.Held{}, func(_ guard.Held, v *state) { v.counts.Refused++ })
	w.Header().Set(headerRefused, reason)
	w.Header().Set("Retry-After", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (s *Server) run(ctx context.Context, w http.ResponseWriter, r *http.Request, p requestPlan) {
	index := s.beginRun(r)
	if p.stall {
		s.stall(ctx)
	}
	if !sleep(ctx, p.serviceTime) {
		s.endRun(index, true)
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	s.endRun(index, false)
	if p.status != 0 {
		w.WriteHeader(p.status)
		return
	}
	s.respond(w, r, p)
}

// beginRun records the run and returns its index. The run counts even if no response is sent.
func (s *Server) beginRun(r *http.Request) int {
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

func (s *Server) endRun(index int, canceled bool) {
	s.state.Write(guard.Held{}, func(_ guard.Held, v *state) {
		v.runs[index].Finished = !canceled
		v.runs[index].Canceled = canceled
		if canceled {
			v.counts.Canceled++
		}
	})
}

// stall blocks until the stall fault is cleared or the request ends.
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

// respond writes the body with its digest, and truncates or corrupts the body according to the plan.
func (s *Server) respond(w http.ResponseWriter, r *http.Request, p requestPlan) {
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

// echo returns the Echo of the request, or that of the previous request if the response is crossed.
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
		if crossed && v.lastEcho.RequestID != "" {
			sent = v.lastEcho
		}
		v.lastEcho = own
	})
	return sent
}

// Body returns a response body: the echo as one line of JSON, then padding up to the size in bytes.
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

// Digest returns the SHA-256 value of the Content-Digest header (RFC 9530).
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return "sha-256=:" + base64.StdEncoding.EncodeToString(sum[:]) + ":"
}

// requestContext returns the context of the request, bounded by the timeout header of the node.
func requestContext(r *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.ParseInt(r.Header.Get(headerTimeout), 10, 64)
	if err != nil || ms <= 0 {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
}

// sleep waits for the duration. It returns false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
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
