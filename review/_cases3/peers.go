package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"egretline.example/egretline/platform/standin"
)

// server is a sound backend server with the state ready.
type server struct {
	ID, Service, Address string
}

// startServer starts a server and registers it in the store. The handler is called for each request that is meant for it.
func startServer(f *fleet, id, service string, handle http.HandlerFunc) (*server, error) {
	l, err := listen("")
	if err != nil {
		return nil, err
	}
	s := &server{ID: id, Service: service, Address: l.Addr().String()}
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(standin.HeaderRequestID, r.Header.Get(standin.HeaderRequestID))
		if e := r.Header.Get(names.ExpectInstance); e != "" && e != id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		handle(w, r)
	})
	go func() { _ = (&http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}).Serve(l) }()
	born := time.Now().UnixMilli()
	register := func(seq int) {
		record := registryEntry(service, s.Address, seq, born)
		f.Store.Put(standin.TopicServers, id, record)
	}
	register(1)
	go func() {
		const heartbeat = 1500 * time.Millisecond
		for seq := 2; ; seq++ {
			time.Sleep(heartbeat)
			register(seq)
		}
	}()
	return s, nil
}

// registryEntry returns the entry of a server that is ready.
func registryEntry(service, address string, seq int, born int64) string {
	entry, _ := json.Marshal(map[string]any{
		"service": service, "addr": address, "zone": "zone-0", "version": "v1", "capacity": 6, "state": "ready",
		names.WarmupField: "0ms", "seq": seq, "born": born,
	})
	return string(entry)
}

// response is what a client received.
type response struct {
	Status    int
	Signature string
	Body      string
	Err       error
}

// get sends a GET request on a connection of its own.
func get(address, path, id string, header ...string) response {
	const deadline = 3 * time.Second
	c, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return response{Err: err}
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(deadline + time.Second))
	head := fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", path, hostName,
		standin.HeaderRequestID, id, standin.HeaderDeadline, deadline.Milliseconds())
	for _, h := range header {
		head += h + "\r\n"
	}
	if _, err := io.WriteString(c, head+"\r\n"); err != nil {
		return response{Err: err}
	}
	r, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodGet})
	if err != nil {
		return response{Err: err}
	}
	body, err := io.ReadAll(r.Body)
	return response{Status: r.StatusCode, Signature: r.Header.Get(standin.HeaderSignature), Body: string(body), Err: err}
}
