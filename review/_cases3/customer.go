package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"egretline.example/egretline/platform/standin"
)

// Times of the case of the last customer. The bound of configuration changes is 2.5 s, and requests are judged later.
const (
	settleTime   = time.Second
	judgedAfter  = 4 * time.Second
	customerKey  = "key-of-shop-a"
	foreignKey   = "key-that-no-configuration-held"
	headerBearer = "Authorization: Bearer "
)

// customer is a customer in a configuration of the operator.
type customer struct {
	Name     string   `json:"name"`
	Keys     []string `json:"apiKeys"`
	Priority int      `json:"priority"`
	RatePerS int      `json:"ratePerS"`
	Burst    int      `json:"burst"`
}

// putConfiguration writes a configuration with the customers, of which there may be none.
func putConfiguration(f *fleet, version int, customers []customer) error {
	routes := []standin.Route{
		{Name: "lookups", Prefix: "/lookups/", Kind: "safe", Service: "ledger", Priority: 0, Timeout: 3 * time.Second},
	}
	text, err := standin.Configuration(version, hostName, []string{"ledger"}, nil, routes)
	if err != nil {
		return err
	}
	var fields map[string]any
	if err := json.Unmarshal([]byte(text), &fields); err != nil {
		return err
	}
	fields["tenants"] = customers
	record, err := json.Marshal(fields)
	if err != nil {
		return err
	}
	f.Store.Put(standin.TopicConfig, standin.KeyConfig, string(record))
	return nil
}

// lastCustomer takes the last customer out of the configuration. Without the disruption, the next version keeps it.
func lastCustomer(r *record, trouble bool) error {
	f, err := newFleet()
	if err != nil {
		return err
	}
	defer f.close()
	serve := func(id string) http.HandlerFunc {
		return func(w http.ResponseWriter, q *http.Request) {
			request, key := q.Header.Get(standin.HeaderRequestID), q.Header.Get("Authorization")
			r.line("server %s runs %s, customer %q, key %q", id, request, q.Header.Get(names.Tenant), key)
			if key != "" {
				r.breach("UNASKED: the key of request %s was passed on to server %s", request, id)
			}
			if strings.HasPrefix(request, "foreign") {
				r.breach("ROUTE: request %s ran, whose key no configuration ever held", request)
			}
			w.Header().Set(standin.HeaderSignature, id)
			_, _ = io.WriteString(w, "body of "+request)
		}
	}
	for k := range 3 {
		id := fmt.Sprint("i-", k)
		if _, err := startServer(f, id, "ledger", serve(id)); err != nil {
			return err
		}
	}
	shop := customer{Name: "shop-a", Keys: []string{customerKey}, Priority: 0, RatePerS: 100, Burst: 100}
	if err := putConfiguration(f, 1, []customer{shop}); err != nil {
		return err
	}
	if err := f.startNodes(3); err != nil {
		return err
	}
	time.Sleep(settleTime)
	send := func(phase string) int {
		served := 0
		for _, n := range f.Nodes {
			for kind, key := range map[string]string{"shop": customerKey, "foreign": foreignKey} {
				id := kind + "-" + phase + "-" + n.ID
				got := get(n.Caller, "/lookups/1", id, headerBearer+key)
				r.line("client sent %s to %s with the key %q: status %d, signature %q, error %v", id, n.ID, key, got.Status, got.Signature, got.Err)
				if kind == "shop" && got.Status == http.StatusOK {
					served++
				}
			}
		}
		return served
	}
	if served := send("before"); served != len(f.Nodes) {
		return fmt.Errorf("%d of %d nodes serve the customer before the change", served, len(f.Nodes))
	}
	next := []customer{shop}
	if trouble {
		next = []customer{}
	}
	if err := putConfiguration(f, 2, next); err != nil {
		return err
	}
	r.line("the store accepted version 2 with %d customers", len(next))
	time.Sleep(judgedAfter)
	send("after")
	for _, n := range f.Nodes {
		if n.ended() {
			return fmt.Errorf("node %s has ended", n.ID)
		}
	}
	return nil
}
