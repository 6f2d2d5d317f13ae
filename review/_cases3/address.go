package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"egretline.example/egretline/platform/standin"
)

// Times of the case of the shared addresses.
const (
	callInterval = 50 * time.Millisecond
	beforeFault  = 3 * time.Second
	downTime     = 1200 * time.Millisecond
	// recoverBound is the bound after which the fleet has to serve again.
	recoverBound = 15 * time.Second
	judgedTime   = 6 * time.Second
	// otherWriterDelay is the time from the start of the nodes to the entries of the other writer.
	otherWriterDelay = 3 * time.Second
)

// sharedAddress kills all nodes and starts them again. With the disruption, another writer then registers a service that no
// configuration names at the addresses of the servers.
func sharedAddress(r *record, trouble bool) error {
	f, err := newFleet()
	if err != nil {
		return err
	}
	defer f.close()
	var servers []*server
	for k := range 3 {
		id := "i-" + strconv.Itoa(k)
		s, err := startServer(f, id, "ledger", func(w http.ResponseWriter, q *http.Request) {
			request := q.Header.Get(standin.HeaderRequestID)
			r.line("server %s runs %s", id, request)
			w.Header().Set(standin.HeaderSignature, id)
			_, _ = io.WriteString(w, "body of "+request)
		})
		if err != nil {
			return err
		}
		servers = append(servers, s)
	}
	routes := []standin.Route{
		{Name: "lookups", Prefix: "/lookups/", Kind: "safe", Service: "ledger", Priority: 0, Timeout: 3 * time.Second},
	}
	configuration, err := standin.Configuration(1, hostName, []string{"ledger"}, nil, routes)
	if err != nil {
		return err
	}
	f.Store.Put(standin.TopicConfig, standin.KeyConfig, configuration)
	if err := f.startNodes(3); err != nil {
		return err
	}
	time.Sleep(settleTime)
	if served, sent := callFor(r, f, "before", beforeFault); served < sent {
		return fmt.Errorf("%d of %d requests were served before the final fault", served, sent)
	}
	for _, n := range f.Nodes {
		n.kill()
	}
	r.line("all nodes were killed")
	time.Sleep(downTime)
	for _, n := range f.Nodes {
		if err := n.start(false); err != nil {
			return err
		}
	}
	r.line("all nodes were started again")
	back := time.Now()
	time.Sleep(otherWriterDelay)
	if trouble {
		startOtherWriter(r, f, servers)
	}
	time.Sleep(time.Until(back.Add(recoverBound)))
	served, sent := callFor(r, f, "after", judgedTime)
	r.line("%d of %d requests were served that were sent later than %s after the machines were back", served, sent, recoverBound)
	if 4*served < sent {
		r.breach("RECOVER: %d of %d requests were served", served, sent)
	}
	return nil
}

// startOtherWriter puts an entry at the address of each server, and keeps the entries alive as servers do.
func startOtherWriter(r *record, f *fleet, servers []*server) {
	const heartbeat = 1500 * time.Millisecond
	born := time.Now().UnixMilli()
	put := func(k, seq int) string {
		entry := registryEntry("metrics", servers[k].Address, seq, born)
		f.Store.Put(standin.TopicServers, "other-"+strconv.Itoa(k), entry)
		return entry
	}
	for k := range servers {
		r.line("another writer put the entry other-%d: %s", k, put(k, 1))
	}
	go func() {
		for seq := 2; ; seq++ {
			time.Sleep(heartbeat)
			for k := range servers {
				put(k, seq)
			}
		}
	}()
}

// callFor sends requests to the nodes in turn, and returns how many of them were served.
func callFor(r *record, f *fleet, phase string, d time.Duration) (served, sent int) {
	var mu sync.Mutex
	var calls sync.WaitGroup
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(callInterval) {
		n := f.Nodes[sent%len(f.Nodes)]
		id := phase + "-" + strconv.Itoa(sent)
		sent++
		calls.Go(func() {
			got := get(n.Caller, "/lookups/1", id)
			r.line("client sent %s to %s: status %d, signature %q, error %v, %d bytes", id, n.ID, got.Status, got.Signature, got.Err, len(got.Body))
			mu.Lock()
			defer mu.Unlock()
			if got.Err == nil && got.Status == http.StatusOK && got.Signature != "" {
				served++
			}
		})
	}
	calls.Wait()
	return served, sent
}
