package main

import (
	"bufio"
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"egretline.example/egretline/platform/standin"
)

func init() { cases["odd-entries"] = oddEntries }

// Figures of the case odd-entries.
const (
	oddRecords  = 300
	oddBytes    = 250_000               // below recordBytes
	oddPause    = 30 * time.Millisecond // between two records
	oddStable   = 3 * time.Second       // the bound stable
	oddDrain    = 2 * time.Second       // the bound drain
	oddServes   = 8 * time.Second       // how long a leaving upstream serves after its leaving was acknowledged
	oddPageKeys = 500
	oddPageSize = 1 << 20
)

// pagedStore is a stand-in of the store that answers in pages, as the pages say. It serves reads and appends of one
// partition for each topic.
type pagedStore struct {
	mu     sync.Mutex
	topics map[string][]storeRecord
	// first is the offset of the oldest record that a read returns.
	first map[string]int
}

// forget drops the history of a topic, with the records that nobody has read yet. The newest record of each key is kept.
func (s *pagedStore) forget(topic string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := len(s.topics[topic]) - 1
	for ; s.topics[topic][last].key[0] != 'i'; last-- { // the newest record of an upstream
	}
	s.topics[topic] = append(s.topics[topic], s.topics[topic][last])
	s.first[topic] = len(s.topics[topic])
}

type storeRecord struct{ key, value string }

func (s *pagedStore) put(topic, key, value string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics[topic] = append(s.topics[topic], storeRecord{key, value})
	return len(s.topics[topic])
}

func (s *pagedStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	topic := r.URL.Query().Get("topic")
	switch {
	case strings.HasSuffix(r.URL.Path, "-append"):
		key := 5 + int(body[4])
		end := s.put(topic, string(body[5:key]), string(body[key:]))
		_ = json.NewEncoder(w).Encode(map[string]int{"offset": end - 1, "end": end})
	case strings.HasSuffix(r.URL.Path, "-read"):
		s.read(w, topic, r.URL.Query().Get("from"))
	case strings.HasSuffix(r.URL.Path, "-newest"):
		s.newest(w, topic, r.URL.Query().Get("after"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// read answers with the records from the offset on, at most 1 MB of them.
func (s *pagedStore) read(w http.ResponseWriter, topic, from string) {
	offset, _ := strconv.Atoi(from)
	s.mu.Lock()
	defer s.mu.Unlock()
	records := s.topics[topic]
	if offset < s.first[topic] {
		w.WriteHeader(http.StatusGone)
		_ = json.NewEncoder(w).Encode(map[string]int{"first": s.first[topic]})
		return
	}
	out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	out = binary.BigEndian.AppendUint64(out, uint64(s.first[topic]))
	for _, rec := range records[min(offset, len(records)):] {
		if len(out)+len(rec.value) > oddPageSize {
			break
		}
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(rec.key)+len(rec.value)))
		out = append(append(out, byte(len(rec.key))), rec.key+rec.value...)
	}
	_, _ = w.Write(out)
}

type newestItem struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Offset int    `json:"offset"`
}

// newest answers with the newest record of each key after the given one, at most 500 keys or 1 MB.
func (s *pagedStore) newest(w http.ResponseWriter, topic, after string) {
	s.mu.Lock()
	newest := map[string]int{}
	for offset, rec := range s.topics[topic] {
		newest[rec.key] = offset
	}
	response := struct {
		Items   []newestItem `json:"items"`
		HasMore bool         `json:"hasMore"`
		End     int          `json:"end"`
	}{Items: []newestItem{}, End: len(s.topics[topic])}
	size := 0
	for _, key := range slices.Sorted(maps.Keys(newest)) {
		rec := s.topics[topic][newest[key]]
		if key <= after || rec.value == "" {
			continue
		}
		if len(response.Items) >= oddPageKeys || size > 0 && size+len(rec.value) > oddPageSize {
			response.HasMore = true
			break
		}
		size += len(rec.value)
		response.Items = append(response.Items, newestItem{Key: key, Value: []byte(rec.value), Offset: newest[key]})
	}
	s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(response)
}

// oddEntries lets another writer write entries that cannot be read among those of the upstreams, lets the store forget its
// history, and then lets an upstream leave as planned. It counts the requests that reach this upstream too late.
func oddEntries(l *lab, dir string) (bool, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	store := &pagedStore{topics: map[string][]storeRecord{}, first: map[string]int{}}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return false, err
	}
	l.storeAt = listener.Addr().String()
	go func() { _ = (&http.Server{Handler: store, ReadHeaderTimeout: time.Minute}).Serve(listener) }()
	config, err := l.configuration(dir + "/config.json")
	if err != nil {
		return false, err
	}
	store.put(standin.TopicConfig, standin.KeyConfig, config)
	var upstreams []*oddUpstream
	for k := range drainUpstreams {
		u, err := l.startOddUpstream(ctx, store, k)
		if err != nil {
			return false, err
		}
		upstreams = append(upstreams, u)
	}
	for _, zone := range []string{"mid-a", "mid-b", "mid-c"} {
		if _, err := l.addNode(zone); err != nil {
			return false, err
		}
	}
	if err := l.startNodes(); err != nil {
		return false, err
	}
	if err := l.awaitFleet(drainHost); err != nil {
		return false, err
	}
	l.probe("at first", 3*time.Second)
	if l.trouble {
		odd := strings.Repeat("\xff\x00", oddBytes/2)
		for k := range oddRecords {
			store.put(standin.TopicServers, fmt.Sprintf("w-%04d", k), odd)
			time.Sleep(oddPause)
		}
		l.logf("another writer has written %d entries of %d bytes", oddRecords, oddBytes)
	}
	l.probe("with the odd entries", 3*time.Second)
	store.forget(standin.TopicServers)
	l.logf("the store has forgotten its history")
	// The store has been stable for twice its bound when the upstream leaves.
	l.probe("after that", 2*oddStable)
	leaver := upstreams[0]
	leaver.stopBeats()
	store.put(standin.TopicServers, leaver.id, leaver.entry.Registration(true, 1_000))
	acknowledged := time.Now()
	l.logf("the store has acknowledged that upstream %s is draining", leaver.id)
	time.AfterFunc(oddServes, func() {
		l.logf("upstream %s ends", leaver.id)
		_ = leaver.server.Close()
	})
	sent, served := l.probe("from then on", oddServes+4*time.Second)
	late := 0
	leaver.mu.Lock()
	for id, at := range leaver.arrivals {
		if at.Sub(acknowledged) > oddDrain {
			late++
			l.logf("request %s reached it %.3f s after that", id, at.Sub(acknowledged).Seconds())
		}
	}
	arrived := len(leaver.arrivals)
	leaver.mu.Unlock()
	l.logf("RESULT: %d of %d requests served from then on, %d requests reached the leaving upstream later than %v after the acknowledgement, %d in all",
		served, sent, late, oddDrain, arrived)
	if arrived == 0 || served == 0 {
		return false, errors.New("the upstream got no request, or nothing was served")
	}
	return late > 0, nil
}

// oddUpstream is an upstream with its entry in the store.
type oddUpstream struct {
	*queueUpstream
	entry     *standin.Backend
	server    *http.Server
	stopBeats context.CancelFunc
}

// startOddUpstream starts and registers an upstream, and keeps its entry alive.
func (l *lab) startOddUpstream(ctx context.Context, store *pagedStore, k int) (*oddUpstream, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	u := &oddUpstream{queueUpstream: &queueUpstream{
		l: l, id: fmt.Sprintf("i-%08x", 0x7f3a91c2+k), slots: make(chan struct{}, drainSlots), arrivals: map[string]time.Time{},
	}}
	u.server = &http.Server{Handler: u, ReadHeaderTimeout: time.Minute}
	go func() { _ = u.server.Serve(listener) }()
	u.entry = &standin.Backend{ID: u.id, Service: "wuno96b", Address: listener.Addr().String(), Zone: "mid-a"}
	store.put(standin.TopicServers, u.id, u.entry.Registration(false, 0))
	ctx, u.stopBeats = context.WithCancel(ctx)
	go func() {
		for seq := 1; ; seq++ {
			time.Sleep(1500 * time.Millisecond)
			if ctx.Err() != nil {
				return
			}
			store.put(standin.TopicServers, u.id, u.entry.Registration(false, seq))
		}
	}()
	return u, nil
}

// probe sends 20 requests a second to the nodes in turn, and returns how many were sent and served.
func (l *lab) probe(when string, d time.Duration) (sent, served int) {
	var running sync.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	for begin := time.Now(); time.Since(begin) < d; sent++ {
		n := l.nodes[sent%len(l.nodes)]
		running.Go(func() {
			status := post(n.caller)
			mu.Lock()
			defer mu.Unlock()
			statuses[status]++
		})
		time.Sleep(50 * time.Millisecond)
	}
	running.Wait()
	l.logf("requests %s, by status (0 is none): %v", when, statuses)
	return sent, statuses[http.StatusOK]
}

// post sends one booking and returns the status of the answer.
func post(address string) int {
	c, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return 0
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(drainDeadline))
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: %016x\r\n%s: %d\r\nContent-Length: 2\r\n\r\nok", drainPath, drainHost,
		standin.HeaderRequestID, rand.Uint64(), standin.HeaderDeadline, drainDeadline.Milliseconds())
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}
