// Package fleet defines the data types that other packages share: configuration, hosts, backend servers and request
// outcomes. It contains no logic beyond small lookups, and any front end can use it.
package fleet

import (
	"strconv"
	"time"
)

// Preference is a service's trade-off between fast failure detection and few false ejections.
type Preference string

// Preferences of a service.
const (
	FewerFalseEjections Preference = "fewer-false-ejections"
	Balanced            Preference = "balanced"
	FasterDetection     Preference = "faster-detection"
	// AvoidOnly disables ejection. Dispatch prefers other servers for a short time after a failure. It suits pools whose
	// servers fail for seconds at a time and get few idempotent requests that could serve as trial requests.
	AvoidOnly Preference = "avoid-only"
)

// BackendServer is one server of a service. It runs no egretline code.
type BackendServer struct {
	// Address is the IP:port of the server, and identifies it within its service.
	Address string
	// Instance identifies one run of the server; empty if the servers do not report one. A request can name the instance
	// that it expects, and a server with another instance refuses it.
	Instance string
	// StartedAtMs is the start time that the server reported, in milliseconds. It distinguishes two runs with the
	// same Instance; zero if it is unknown.
	StartedAtMs      int64
	AvailabilityZone string
	// Slots is the number of requests that the server can run concurrently.
	Slots int
	// Connections is the maximum number of connections that the server accepts from all hosts of the fleet together.
	Connections int
}

// Service is a pool of interchangeable backend servers.
type Service struct {
	Name   string
	Region string
	// Floor is the minimum number of healthy backend servers that ejections must leave in use.
	Floor int
	// GroupSize is the number of nodes that serve the service; zero selects the default.
	GroupSize  int
	Preference Preference
	// ColdStart is the time after a backend server joins the pool during which slow responses are not counted against it.
	ColdStart      time.Duration
	BackendServers []BackendServer
}

// Rank is a priority class of requests. The configuration lists ranks from the most to the least urgent.
type Rank struct {
	Name string
	// Share is the fraction of slot time, from 0 to 1, that the rank gets while every rank has requests waiting.
	Share float64
	// SlotLimit is the maximum fraction of slots, above 0 and at most 1, that the rank may hold at the same time.
	SlotLimit float64
}

// Route maps requests to a service and a rank.
type Route struct {
	Name    string
	Service string
	// Split lists the services among which the route's requests are divided by weight. If it is not empty, Service is
	// ignored.
	Split []WeightedService
	// Host is the host name in the request; empty if the route matches every host name.
	Host string
	// Method is the HTTP method; empty if the route matches every method.
	Method     string
	PathPrefix string
	Rank       string
	// Anonymous reports whether the route serves requests without a customer's key.
	Anonymous  bool
	Idempotent bool
	// LargeResponses reports whether responses are large. The availability zone of the backend server then matters.
	LargeResponses bool
	// MaxRuns is the maximum number of backend servers that may run one request; zero means that only the retry budget
	// limits it.
	MaxRuns int
	// TargetLatency is the latency up to which a response has its full value to the caller; zero if none is configured.
	TargetLatency time.Duration
	// Timeout bounds the total time of all attempts of one request.
	Timeout time.Duration
	// RefusalReason is the reason why requests of the route are refused with the outcome NotRun; empty if the route can be
	// served. Merging sets it on a route whose service or rank is not defined in any file.
	RefusalReason string
}

// WeightedService is a service and the weight by which it shares the requests of a route.
type WeightedService struct {
	Service string
	Weight  int
}

// RouteKey holds the properties of a request that a route matches. They identify the route.
type RouteKey struct {
	Host       string
	Method     string
	PathPrefix string
}

// Limits bounds the requests of one tenant at one node, in each rank separately. Zero means no limit.
type Limits struct {
	RequestsPerSecond float64
	Burst             int
	InFlight          int
}

// Tenant is a customer with its own credentials, services and limits.
type Tenant struct {
	Name string
	// TokenSHA256 is the SHA-256 of the tenant's bearer token, as lower-case hexadecimal digits.
	TokenSHA256 string
	// Services lists the names of the services that the tenant may use.
	Services []string
	Limits   Limits
	// Rank replaces the rank of the route for the tenant's requests; empty if the route's rank applies.
	Rank string
	// Quota limits the tenant's requests at all nodes together.
	Quota Quota
}

// Quota is a limit of one tenant's requests for the whole fleet. Zero requests per second mean no limit.
type Quota struct {
	RequestsPerSecond float64
	Burst             int
}

// File is one decoded configuration file.
type File struct {
	Name     string
	Ranks    []Rank
	Services []Service
	Routes   []Route
	Tenants  []Tenant
}

// Configuration is the result of merging all current files, with indexes for lookups by request.
type Configuration struct {
	// Revision is the log offset of the newest accepted configuration record.
	Revision int64
	Ranks    []Rank
	Services map[string]Service
	// Routes is sorted by descending length of PathPrefix: the first matching route is the most specific one.
	Routes []Route
	// RouteIndex maps the key of a route to its position in Routes.
	RouteIndex map[RouteKey]int
	// Tenants is keyed by TokenSHA256. A tenant with several tokens has one entry for each of them. If it is nil or empty, no
	// key is valid.
	Tenants map[string]Tenant
	// TokensOptional is set if the configuration does not define tenants at all, not even an empty list of them. Entry hosts
	// then serve requests without a token, and pass tokens on like any other header.
	TokensOptional bool
	// Problems lists the conflicts and missing definitions that merging found across files.
	Problems []Problem
}

// Problem is an error in a configuration file, with its location and a remedy.
type Problem struct {
	File string
	// Line counts from 1; zero if the problem has no location in the text.
	Line int
	// Key is the dotted TOML key, such as service.bookdesk.floor.
	Key     string
	Message string
	// Remedy is an instruction for correcting the file.
	Remedy string
}

// Detail returns the problem itself. Error types that embed Problem provide it through this method.
func (p Problem) Detail() Problem { return p }

// Error returns the location, the message and the remedy in one line.
func (p Problem) Error() string {
	text := p.File
	if p.Line > 0 {
		text += ":" + strconv.Itoa(p.Line)
	}
	if p.Key != "" {
		text += ": " + p.Key
	}
	return text + ": " + p.Message + "; " + p.Remedy
}
