package entry

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/load"
	"egretline.example/egretline/service/api"
)

// responseGrace is how long the client waits beyond the announced timeout, so that the node reports the outcome.
const responseGrace = 2 * time.Second

// firstLineBytes bounds what is kept of a body for the check of its echo.
const firstLineBytes = 4 << 10

// Sender sends the jobs of an experiment.
type Sender struct {
	Client *Client
}

// Send sends the request to the first entry that can be connected and returns its result without the latency. Only a
// connection that could not be made leads to the next entry, because nothing was sent on it.
func (s Sender) Send(ctx context.Context, j load.Job) load.Result {
	f := &j.Experiment.Flows[j.Request.Flow]
	t := &j.Experiment.Tenants[j.Request.Tenant]
	result := load.Result{Request: j.Request, Nonce: j.Nonce, Class: load.NoEntry}
	ctx, cancel := context.WithTimeout(ctx, f.Timeout+responseGrace)
	defer cancel()
	entries, err := s.Client.Entries(ctx, f.Service, j.Request.AvailabilityZone, t.Token)
	if err != nil {
		result.Detail = err.Error()
		return result
	}
	var tried []string
	for {
		e, ok := s.Client.choose(entries, tried, !f.Idempotent)
		if !ok {
			s.Client.forget(place{Service: f.Service, AvailabilityZone: j.Request.AvailabilityZone})
			return result
		}
		tried = append(tried, e.Address)
		s.attempt(ctx, j, e, &result)
		if result.Reply.Connected {
			result.Class = load.Judge(result.Reply)
			return result
		}
		s.Client.markGone(e.Address)
	}
}

func (s Sender) attempt(ctx context.Context, j load.Job, e load.Entry, result *load.Result) {
	request, err := build(ctx, j, e)
	if err != nil {
		result.Detail = err.Error()
		return
	}
	result.Key = request.Header.Get(api.HeaderIdempotencyKey)
	var sent atomic.Bool
	request = request.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteHeaders: func() { sent.Store(true) },
	}))
	response, err := s.Client.transport.RoundTrip(request)
	if err != nil {
		result.Detail = err.Error()
		// The transport replays an idempotent request when a reused connection breaks. The replay may fail to connect
		// after the first try has reached the node.
		result.Reply = load.Reply{Connected: sent.Load() || !dialFailed(err), Broken: true}
		if result.Reply.Connected {
			result.Node = e.Address
		}
		return
	}
	defer closeBody(response)
	result.Node = e.Address
	result.Reply = read(j, response)
}

func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// build makes the request. The URI carries the nonce, so that the echo of a backend server shows which request it served.
func build(ctx context.Context, j load.Job, e load.Entry) (*http.Request, error) {
	f := &j.Experiment.Flows[j.Request.Flow]
	t := &j.Experiment.Tenants[j.Request.Tenant]
	target := url.URL{Scheme: "http", Host: e.Address, Path: f.Path, RawQuery: "nonce=" + j.Nonce}
	r, err := http.NewRequestWithContext(ctx, f.Method, target.String(), body(f))
	if err != nil {
		return nil, err
	}
	r.ContentLength = int64(f.BodyBytes)
	r.Header.Set("Authorization", "Bearer "+t.Token)
	r.Header.Set(api.HeaderTimeout, strconv.FormatInt(f.Timeout.Milliseconds(), 10))
	if !f.Idempotent {
		r.Header.Set(api.HeaderIdempotencyKey, e.KeyPrefix+"."+j.Nonce)
	}
	return r, nil
}

// body returns a body that the transport cannot rewind. Otherwise it would replay a non-idempotent request by itself
// when a reused connection breaks.
func body(f *load.Flow) io.Reader {
	if f.Idempotent && f.BodyBytes == 0 {
		return http.NoBody
	}
	return io.NopCloser(bytes.NewReader(bytes.Repeat([]byte{'x'}, f.BodyBytes)))
}

// read reads the whole response and checks it.
func read(j load.Job, response *http.Response) load.Reply {
	reply := load.Reply{
		Connected: true,
		Status:    response.StatusCode,
		Outcome:   fleet.Outcome(response.Header.Get(api.HeaderOutcome)),
	}
	sum := sha256.New()
	head := &prefix{}
	n, err := io.Copy(io.MultiWriter(sum, head), response.Body)
	reply.Bytes = n
	reply.Broken = err != nil
	if reply.Broken {
		return reply
	}
	if reply.Outcome != fleet.Answered {
		reply.Reason = refusalReason(head.bytes)
		return reply
	}
	reply.Digest = checkDigest(response.Header, sum.Sum(nil))
	reply.EchoWrong = j.Experiment.CheckEcho && reply.Status < http.StatusMultipleChoices && !echoMatches(j, response, head.bytes)
	return reply
}

// prefix keeps the first bytes that are written to it.
type prefix struct {
	bytes []byte
}

func (p *prefix) Write(b []byte) (int, error) {
	keep := min(len(b), firstLineBytes-len(p.bytes))
	p.bytes = append(p.bytes, b[:keep]...)
	return len(b), nil
}

func refusalReason(body []byte) string {
	var refusal api.Refusal
	if err := json.Unmarshal(body, &refusal); err != nil {
		return ""
	}
	return refusal.Reason
}

// checkDigest compares the digest that the response declares (RFC 9530) with the one of the received body.
func checkDigest(h http.Header, sum []byte) load.Digest {
	for _, line := range h.Values(api.HeaderContentDigest) {
		for member := range strings.SplitSeq(line, ",") {
			algorithm, value, _ := strings.Cut(strings.TrimSpace(member), "=")
			if !strings.EqualFold(algorithm, "sha-256") {
				continue
			}
			want, err := base64.StdEncoding.DecodeString(strings.Trim(value, ":"))
			if err != nil || !bytes.Equal(want, sum) {
				return load.DigestDiffers
			}
			return load.DigestMatches
		}
	}
	return load.DigestMissing
}

// echo is the first line of a body of a stand-in backend server.
type echo struct {
	RequestID string `json:"request-id"`
	Tenant    string `json:"tenant"`
	URI       string `json:"uri"`
}

// echoMatches says whether the body belongs to this request: its nonce, its tenant and the request ID of the node.
func echoMatches(j load.Job, response *http.Response, head []byte) bool {
	line, _, _ := bytes.Cut(head, []byte{'\n'})
	var e echo
	if err := json.Unmarshal(line, &e); err != nil {
		return false
	}
	_, query, _ := strings.Cut(e.URI, "?")
	return query == "nonce="+j.Nonce &&
		e.Tenant == j.Experiment.Tenants[j.Request.Tenant].Name &&
		e.RequestID == response.Header.Get(api.HeaderRequestID)
}
