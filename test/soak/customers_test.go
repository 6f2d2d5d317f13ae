package soak

import (
	"net/http"
	"slices"
	"time"

	"egretline.example/egretline/platform/standin"
)

const (
	// quotaOver and quotaSlack are the tolerance in the settings of the nodes: by how much the requests of a customer may
	// exceed its limit in any quotaWindow.
	quotaOver   = 0.1
	quotaSlack  = 20
	quotaWindow = 5 * time.Second
	// floodCallerCount is the number of callers of the limited customer; together they send several times its limit.
	floodCallerCount = 4
)

var (
	shopCustomer  = standin.Customer{Name: "shop", Key: "key-of-the-shop"}
	floodCustomer = standin.Customer{Name: "flood", Key: "key-of-the-flood", RatePerS: 2, Burst: 2}
)

// checkCustomers checks under which customer requests arrived, that no key was passed on, and that the limited customer kept
// to its limit over all servers.
func (h *harness) checkCustomers(add func(string, ...any)) {
	customers := map[string]string{}
	for _, c := range h.calls.snapshot() {
		customers[c.ID] = c.Customer.Name
		if c.Status == http.StatusUnauthorized {
			add("keys: %s got status 401 with a key that every version contains", c.ID)
		}
		if c.Status == http.StatusTooManyRequests && c.Customer.RatePerS == 0 {
			add("quota: %s got status 429, and its customer has no limit", c.ID)
		}
	}
	var flood []time.Time
	for _, a := range h.journal.Arrivals() {
		if want, known := customers[a.ID]; a.KeySent || known && a.Customer != want {
			add("keys: %s reached %s for customer %q, with its key: %t", a.ID, a.Server, a.Customer, a.KeySent)
		}
		if a.Executed && a.Customer == floodCustomer.Name {
			flood = append(flood, a.At)
		}
	}
	slices.SortFunc(flood, time.Time.Compare)
	allowed := (floodCustomer.RatePerS*quotaWindow.Seconds()+float64(floodCustomer.Burst))*(1+quotaOver) + quotaSlack
	first := 0
	for last, at := range flood {
		for at.Sub(flood[first]) >= quotaWindow {
			first++
		}
		if n := last - first + 1; float64(n) > allowed {
			add("quota: %d requests of a customer ran within %s, %.0f are allowed", n, quotaWindow, allowed)
			return
		}
	}
}
