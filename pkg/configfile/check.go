package configfile

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"net/netip"
	"regexp"
	"slices"
	"strings"
	"time"

	"egretline.example/egretline/pkg/fleet"
)

const (
	// maxGroupSize is far above the 4 to 6 nodes that a service needs. A larger group fragments the slots of the pool.
	maxGroupSize = 64
	// shareTolerance absorbs the rounding of decimal fractions whose sum is 1.
	shareTolerance = 1e-9
)

var (
	kebab     = regexp.MustCompile(`^[a-z0-9]+(-[a-z0-9]+)*$`)
	tokenHash = regexp.MustCompile(`^[0-9a-f]{64}$`)
	method    = regexp.MustCompile(`^[A-Z]+$`)
)

// checker collects the faults of one file.
type checker struct {
	file   string
	lines  positions
	faults []Fault
}

// add records a fault of type E at the key.
func add[E interface {
	~struct{ fleet.Problem }
	Fault
}](c *checker, key, message, remedy string) {
	p := fleet.Problem{File: c.file, Key: key, Message: message, Remedy: remedy}
	if c.lines != nil {
		p.Line = c.lines.line(key)
	}
	c.faults = append(c.faults, E{p})
}

func (c *checker) refusal() error {
	slices.SortStableFunc(c.faults, func(a, b Fault) int { return cmp.Compare(a.Detail().Line, b.Detail().Line) })
	return RefusedError{File: c.file, Faults: c.faults}
}

func (c *checker) document(d document) {
	c.ranks(d)
	for _, name := range slices.Sorted(maps.Keys(d.Services)) {
		c.service("service."+name, name, d.Services[name])
	}
	c.routes(d)
	c.tenants(d)
}

func (c *checker) ranks(d document) {
	seen := map[string]string{}
	sum := 0.0
	for i, r := range d.Ranks {
		key := fmt.Sprintf("rank[%d]", i)
		c.name(key+".name", r.Name)
		c.unique(seen, "rank", r.Name, key+".name")
		c.fraction(key+".slot-limit", r.SlotLimit)
		if !(r.Share >= 0 && r.Share <= 1) {
			add[ShareError](c, key+".share",
				fmt.Sprintf("share %v is outside 0 to 1", r.Share), "write a fraction such as 0.3")
			continue
		}
		sum += r.Share
	}
	if sum > 1+shareTolerance {
		add[ShareError](c, fmt.Sprintf("rank[%d].share", len(d.Ranks)-1),
			fmt.Sprintf("shares of all ranks add up to %.4g", sum), "lower the shares until they add up to 1 or less")
	}
}

func (c *checker) service(key, name string, s serviceEntry) {
	c.name(key, name)
	c.name(key+".region", s.Region)
	c.number(key+".floor", s.Floor, 0)
	c.number(key+".group-size", s.GroupSize, 0)
	if s.GroupSize > maxGroupSize {
		add[RangeError](c, key+".group-size",
			fmt.Sprintf("%d is above %d", s.GroupSize, maxGroupSize), "write the number of nodes, typically 4 to 6")
	}
	if s.Floor > len(s.BackendServers) {
		add[FloorError](c, key+".floor",
			fmt.Sprintf("floor %d is above the pool size", s.Floor),
			fmt.Sprintf("write at most %d, the number of backend servers", len(s.BackendServers)))
	}
	choices := []string{string(fleet.FewerFalseEjections), string(fleet.Balanced), string(fleet.FasterDetection)}
	if s.Preference != "" && !slices.Contains(choices, s.Preference) {
		add[ChoiceError](c, key+".preference",
			fmt.Sprintf("unknown preference %q", s.Preference), "write one of "+strings.Join(choices, ", "))
	}
	c.duration(key+".cold-start", s.ColdStart)
	c.servers(key, s.BackendServers)
}

func (c *checker) servers(service string, servers []serverEntry) {
	seen := map[string]string{}
	for i, b := range servers {
		key := fmt.Sprintf("%s.backend-server[%d]", service, i)
		address, err := netip.ParseAddrPort(b.Address)
		if err != nil || address.Port() == 0 {
			add[AddressError](c, key+".address",
				fmt.Sprintf("bad address %q", b.Address), `write IP:port, such as "127.0.0.1:9001"`)
		} else {
			c.unique(seen, "backend server", b.Address, key+".address")
		}
		c.name(key+".availability-zone", b.AvailabilityZone)
		c.number(key+".slots", b.Slots, 1)
		c.number(key+".connections", b.Connections, 1)
	}
}

func (c *checker) routes(d document) {
	names, matches := map[string]string{}, map[string]string{}
	for i, r := range d.Routes {
		key := fmt.Sprintf("route[%d]", i)
		c.name(key+".name", r.Name)
		c.unique(names, "route", r.Name, key+".name")
		c.duration(key+".timeout", r.Timeout)
		if !method.MatchString(r.Method) {
			add[ChoiceError](c, key+".method",
				fmt.Sprintf("bad method %q", r.Method), `write an HTTP method in capitals, such as "GET"`)
		}
		if !strings.HasPrefix(r.PathPrefix, "/") {
			add[ChoiceError](c, key+".path-prefix",
				fmt.Sprintf("bad path prefix %q", r.PathPrefix), `write a path that starts with "/"`)
		} else {
			c.unique(matches, "route for", r.Method+" "+r.PathPrefix, key+".path-prefix")
		}
		c.reference(key+".rank", "rank", r.Rank, rankNames(d))
		c.reference(key+".service", "service", r.Service, slices.Sorted(maps.Keys(d.Services)))
	}
}

func (c *checker) tenants(d document) {
	seen := map[string]string{}
	services := slices.Sorted(maps.Keys(d.Services))
	for _, name := range slices.Sorted(maps.Keys(d.Tenants)) {
		t, key := d.Tenants[name], "tenant."+name
		c.name(key, name)
		if !tokenHash.MatchString(t.TokenSHA256) {
			add[TokenHashError](c, key+".token-sha256", "bad token hash",
				"write the SHA-256 of the bearer token as 64 lower-case hex digits (printf %s TOKEN | sha256sum)")
		} else {
			c.unique(seen, "token hash", t.TokenSHA256, key+".token-sha256")
		}
		for i, s := range t.Services {
			c.reference(fmt.Sprintf("%s.services[%d]", key, i), "service", s, services)
		}
		if !(t.RequestsPerSecond >= 0) || math.IsInf(t.RequestsPerSecond, 1) {
			add[RangeError](c, key+".requests-per-second",
				fmt.Sprintf("%v is not a rate", t.RequestsPerSecond), "write a number above 0, or leave the key out for no limit")
		}
		c.number(key+".burst", t.Burst, 0)
		c.number(key+".in-flight", t.InFlight, 0)
	}
}

func rankNames(d document) []string {
	names := make([]string, len(d.Ranks))
	for i, r := range d.Ranks {
		names[i] = r.Name
	}
	return names
}

// reference checks a reference only if the file defines things of that kind. Otherwise another file defines them, and a
// reference that stays dangling gives a route that refuses.
func (c *checker) reference(key, kind, name string, defined []string) {
	if name == "" {
		c.missing(key)
		return
	}
	if len(defined) == 0 || slices.Contains(defined, name) {
		return
	}
	add[ReferenceError](c, key, fmt.Sprintf("no %s %q in this file", kind, name),
		"write one of "+strings.Join(defined, ", ")+", or define it here")
}

func (c *checker) name(key, name string) {
	if name == "" {
		c.missing(key)
		return
	}
	if !kebab.MatchString(name) {
		add[NameError](c, key, fmt.Sprintf("bad name %q", name),
			"write lower-case letters and digits, with single hyphens between words")
	}
}

func (c *checker) missing(key string) {
	add[MissingKeyError](c, key, "missing", "write a value for this key")
}

func (c *checker) unique(seen map[string]string, kind, name, key string) {
	if name == "" {
		return
	}
	if first, found := seen[name]; found {
		add[DuplicateError](c, key, fmt.Sprintf("%s %q is there twice", kind, name),
			fmt.Sprintf("remove it here, or change the first in line %d", c.lines.line(first)))
		return
	}
	seen[name] = key
}

func (c *checker) number(key string, n, least int) {
	if n < least {
		add[RangeError](c, key, fmt.Sprintf("%d is too low", n),
			fmt.Sprintf("write %d or more", least))
	}
}

func (c *checker) fraction(key string, v float64) {
	if !(v >= 0 && v <= 1) {
		add[RangeError](c, key, fmt.Sprintf("%v is outside 0 to 1", v),
			"write a fraction of the slots such as 0.5, or leave the key out for all of them")
	}
}

func (c *checker) duration(key, text string) {
	if text == "" {
		return
	}
	if d, err := time.ParseDuration(text); err != nil || d < 0 {
		add[UnitError](c, key, fmt.Sprintf("bad duration %q", text),
			`write a number with a unit of ms, s, m or h, such as "2s"`)
	}
}
