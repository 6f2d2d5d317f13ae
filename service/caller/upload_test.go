package caller

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/memberquery"
	"egretline.example/egretline/service/api"
	"egretline.example/egretline/service/backend"
	"egretline.example/egretline/service/peer"
	"egretline.example/egretline/test/earlyserver"
)

// fixedGroups has this node serve all services, or the target if there is one.
type fixedGroups struct{ Target fleet.Host }

func (g fixedGroups) Serves(string) bool                                  { return g.Target.ID == "" }
func (g fixedGroups) Targets(string, time.Time) []fleet.Host              { return []fleet.Host{g.Target} }
func (fixedGroups) Entries(string, string, time.Time) []memberquery.Entry { return nil }

type discardContacts struct{}

func (discardContacts) ObserveContact(string, bool, time.Time) {}

type uploadConfig struct{}

// Current returns a configuration whose only tenant has no token.
func (uploadConfig) Current() *fleet.Configuration {
	return &fleet.Configuration{
		Ranks:    []fleet.Rank{{Name: "bookings", Share: 1}},
		Services: map[string]fleet.Service{"desk": {Name: "desk"}},
		Routes: []fleet.Route{{
			Name: "book", Service: "desk", PathPrefix: "/book/", Rank: "bookings", Timeout: time.Minute,
		}},
		RouteIndex: map[fleet.RouteKey]int{{Method: http.MethodPost, PathPrefix: "/book/"}: 0},
		Tenants:    map[string]fleet.Tenant{tokenHash(&http.Request{}): {Name: "shop", Services: []string{"desk"}}},
	}
}

func newUploadHandler(g Groups, address string) *Handler {
	return &Handler{
		Config: uploadConfig{}, Dispatcher: directDispatcher{Address: address}, Groups: g,
		Forwarder: peer.NewForwarder("self", peer.NewTransport(nil), discardContacts{}, 2),
		Transport: backend.NewTransport(), Log: zerolog.Nop(),
	}
}

func startServer(t *testing.T, h http.Handler) *httptest.Server {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s
}

// TestEarlyAnswer guards against a backend server that gets other bytes than the caller sent where the rest of a long
// body is due, after it has responded early. net/http's server read the body at the same time as the exchange.
func TestEarlyAnswer(t *testing.T) {
	const responseBytes = 6 << 10 // longer than the buffer of net/http's server
	t.Run("a request that this node sends to the backend server", func(t *testing.T) {
		for range 5 {
			b := earlyserver.New(t, api.HeaderRequestID, responseBytes)
			url := startServer(t, newUploadHandler(fixedGroups{}, b.Address)).URL
			b.AssertIntact(t, earlyserver.Post(t, url+"/book/1", http.Header{}, true))
		}
	})
	t.Run("a request that this node forwards to another one", func(t *testing.T) {
		for range 5 {
			b := earlyserver.New(t, api.HeaderRequestID, responseBytes)
			other := startServer(t, newUploadHandler(fixedGroups{}, b.Address).ForwardedHandler())
			target := fleet.Host{ID: "other", PeerAddress: other.Listener.Addr().String()}
			is.New(t).True(target.PeerAddress != "")
			url := startServer(t, newUploadHandler(fixedGroups{target}, "")).URL
			b.AssertIntact(t, earlyserver.Post(t, url+"/book/1", http.Header{}, true))
		}
	})
}
