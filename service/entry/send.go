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

// responseGracePeriod is how long the client waits beyond the timeout of the request, to receive the outcome from the
// node.
const responseGracePeriod = 2 * time.Second

// maxPrefixBytes bounds how much of a response body is buffered to check its echo or to read the reason of a refusal.
const maxPrefixBytes = 4 << 10

// Sender sends the requests of a load experiment.
type Sender struct {
	Client *Client
}

// Send sends the request to the first entry that can be connected to. It tries the next entry only if connecting
// failed, because nothing was sent then. It leaves the latency of the result unset.
func (s Sender) Send(ctx context.Context, j load.Job) load.Result {
	flow := &j.Experiment.Flows[j.Request.FlowIndex]
	tenant := &j.Experiment.Tenants[j.Request.TenantIndex]
	result := load.Result{Request: j.Request, Nonce: j.Nonce, Class: load.NoEntry}
	ctx, cancel := context.WithTimeout(ctx, flow.Timeout+responseGracePeriod)
	defer cancel()
	entries, err := s.Client.Entries(ctx, flow.Service, j.Request.AvailabilityZone, tenant.Token)
	if err != nil {
		result.Detail = err.Error()
		return result
	}
	var tried []string
	for {
		e, ok := s.Client.chooseEntry(entries, tried, !flow.Idempotent)
		if !ok {
			s.Client.evict(cacheKey{Service: flow.Service, AvailabilityZone: j.Request.AvailabilityZone})
			return result
		}
		tried = append(tried, e.Address)
		s.attempt(ctx, j, e, &result)
		if result.Reply.Connected {
			result.Class = load.Classify(result.Reply)
			return result
		}
		s.Client.markUnreachable(e.Address)
	}
}

func (s Sender) attempt(ctx context.Context, j load.Job, e load.Entry, result *load.Result) {
	request, err := buildRequest(ctx, j, e)
	if err != nil {
		result.Detail = err.Error()
		return
	}
	result.IdempotencyKey = request.Header.Get(api.HeaderIdempotencyKey)
	var sent atomic.Bool
	request = request.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteHeaders: func() { sent.Store(true) },
	}))
	response, err := s.Client.transport.RoundTrip(request)
	if err != nil {
		result.Detail = err.Error()
		// The transport replays an idempotent request when a reused connection breaks. A replay that fails to connect
		// does not show that nothing was sent: the first try may have reached the node.
		result.Reply = load.Reply{Connected: sent.Load() || !isDialError(err), Incomplete: true}
		if result.Reply.Connected {
			result.Node = e.Address
		}
		return
	}
	defer closeBody(response)
	result.Node = e.Address
	result.Reply = readReply(j, response)
}

func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// buildRequest builds the HTTP request. Its URI has the nonce, which the backend server echoes to show which request it
// served.
func buildRequest(ctx context.Context, j load.Job, e load.Entry) (*http.Request, error) {
	flow := &j.Experiment.Flows[j.Request.FlowIndex]
	tenant := &j.Experiment.Tenants[j.Request.TenantIndex]
	target := url.URL{Scheme: "http", Host: e.Address, Path: flow.Path, RawQuery: "nonce=" + j.Nonce}
	r, err := http.NewRequestWithContext(ctx, flow.Method, target.String(), requestBody(flow))
	if err != nil {
		return nil, err
	}
	r.ContentLength = int64(flow.BodyBytes)
	r.Header.Set("Authorization", "Bearer "+tenant.Token)
	r.Header.Set(api.HeaderTimeout, strconv.FormatInt(flow.Timeout.Milliseconds(), 10))
	if !flow.Idempotent {
		r.Header.Set(api.HeaderIdempotencyKey, e.KeyPrefix+"."+j.Nonce)
	}
	return r, nil
}

// requestBody returns a body that the transport cannot rewind. Otherwise, the transport would replay a non-idempotent
// request when a reused connection breaks.
func requestBody(flow *load.Flow) io.Reader {
	if flow.Idempotent && flow.BodyBytes == 0 {
		return http.NoBody
	}
	return io.NopCloser(bytes.NewReader(bytes.Repeat([]byte{'x'}, flow.BodyBytes)))
}

// readReply reads the whole response and checks its digest and its echo.
func readReply(j load.Job, response *http.Response) load.Reply {
	reply := load.Reply{
		Connected: true,
		Status:    response.StatusCode,
		Outcome:   fleet.Outcome(response.Header.Get(api.HeaderOutcome)),
	}
	sum := sha256.New()
	prefix := &prefixWriter{}
	n, err := io.Copy(io.MultiWriter(sum, prefix), response.Body)
	reply.Bytes = n
	reply.Incomplete = err != nil
	if reply.Incomplete {
		return reply
	}
	if reply.Outcome != fleet.Answered {
		reply.Reason = refusalReason(prefix.bytes)
		return reply
	}
	reply.Digest = checkDigest(response.Header, sum.Sum(nil))
	reply.EchoMismatch = j.Experiment.CheckEcho && reply.Status < http.StatusMultipleChoices && !echoMatches(j, response, prefix.bytes)
	return reply
}

// prefixWriter buffers the first maxPrefixBytes that are written to it.
type prefixWriter struct {
	bytes []byte
}

func (p *prefixWriter) Write(b []byte) (int, error) {
	keep := min(len(b), maxPrefixBytes-len(p.bytes))
	p.bytes = append(p.bytes, b[:keep]...)
	return len(b), nil
}

// refusalReason returns the reason in the body of a refusal, or an empty string if the body is not a refusal.
func refusalReason(body []byte) string {
	var refusal api.Refusal
	if err := json.Unmarshal(body, &refusal); err != nil {
		return ""
	}
	return refusal.Reason
}

// checkDigest compares the Content-Digest header (RFC 9530) with the SHA-256 digest of the received body.
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

// echo is the first line of the response body of a stand-in backend server. It describes the request that was served.
type echo struct {
	RequestID string `json:"request-id"`
	Tenant    string `json:"tenant"`
	URI       string `json:"uri"`
}

// echoMatches reports whether the body belongs to this request, by the nonce, the tenant and the request ID that the
// node assigned.
func echoMatches(j load.Job, response *http.Response, prefix []byte) bool {
	line, _, _ := bytes.Cut(prefix, []byte{'\n'})
	var e echo
	if err := json.Unmarshal(line, &e); err != nil {
		return false
	}
	_, query, _ := strings.Cut(e.URI, "?")
	return query == "nonce="+j.Nonce &&
		e.Tenant == j.Experiment.Tenants[j.Request.TenantIndex].Name &&
		e.RequestID == response.Header.Get(api.HeaderRequestID)
}
