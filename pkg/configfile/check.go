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
	// maxGroupSize is far above the 4 to 6 nodes that a service needs. A larger group divides the slots of the pool into
	// small fragments.
	maxGroupSize = 64
	// shareTolerance allows for the rounding error of decimal fractions whose sum is 1.
	shareTolerance = 1e-9
)

var (
	kebabCasePattern  = regexp.MustCompile(`^[a-z0-9]+(-[a-z0-9]+)*$`)
	tokenHashPattern  = regexp.MustCompile(`^[0-9a-f]{64}$`)
	httpMethodPattern = regexp.MustCompile(`^[A-Z]+$`)
)

// checker collects the validation errors of one file.
type checker struct {
	file  string
	lines lineNumbers
	errs  []ValidationError
}

// addError records a validation error of type E at the key.
func addError[E interface {
	~struct{ fleet.Problem }
	ValidationError
}](c *checker, key, message, remedy string) {
	p := fleet.Problem{File: c.file, Key: key, Message: message, Remedy: remedy}
	if c.lines != nil {
		p.Line = c.lines.line(key)
	}
	c.errs = append(c.errs, E{p})
}

func (c *checker) invalidFileError() error {
	slices.SortStableFunc(c.errs, func(a, b ValidationError) int { return cmp.Compare(a.Detail().Line, b.Detail().Line) })
	return InvalidFileError{File: c.file, Errors: c.errs}
}

func (c *checker) checkDocument(d document) {
	c.checkRanks(d)
	for _, name := range slices.Sorted(maps.Keys(d.Services)) {
		c.checkService("service."+name, name, d.Services[name])
	}
	c.checkRoutes(d)
	c.checkTenants(d)
}

func (c *checker) checkRanks(d document) {
	seen := map[string]string{}
	sum := 0.0
	for i, r := range d.Ranks {
		key := fmt.Sprintf("rank[%d]", i)
		c.checkName(key+".name", r.Name)
		c.checkUnique(seen, "rank", r.Name, key+".name")
		c.checkFraction(key+".slot-limit", r.SlotLimit)
		if !(r.Share >= 0 && r.Share <= 1) {
			addError[ShareError](c, key+".share",
				fmt.Sprintf("share %v is outside 0 to 1", r.Share), "write a fraction such as 0.3")
			continue
		}
		sum += r.Share
	}
	if sum > 1+shareTolerance {
		addError[ShareError](c, fmt.Sprintf("rank[%d].share", len(d.Ranks)-1),
			fmt.Sprintf("shares of all ranks add up to %.4g", sum), "lower the shares until they add up to 1 or less")
	}
}

func (c *checker) checkService(key, name string, s serviceEntry) {
	c.checkName(key, name)
	c.checkName(key+".region", s.Region)
	c.checkMinimum(key+".floor", s.Floor, 0)
	c.checkMinimum(key+".group-size", s.GroupSize, 0)
	if s.GroupSize > maxGroupSize {
		addError[RangeError](c, key+".group-size",
			fmt.Sprintf("%d is above %d", s.GroupSize, maxGroupSize), "write the number of nodes, typically 4 to 6")
	}
	if s.Floor > len(s.BackendServers) {
		addError[FloorError](c, key+".floor",
			fmt.Sprintf("floor %d is above the pool size", s.Floor),
			fmt.Sprintf("write at most %d, the number of backend servers", len(s.BackendServers)))
	}
	choices := []string{string(fleet.FewerFalseEjections), string(fleet.Balanced), string(fleet.FasterDetection)}
	if s.Preference != "" && !slices.Contains(choices, s.Preference) {
		addError[ChoiceError](c, key+".preference",
			fmt.Sprintf("unknown preference %q", s.Preference), "write one of "+strings.Join(choices, ", "))
	}
	c.checkDuration(key+".cold-start", s.ColdStart)
	c.checkServers(key, s.BackendServers)
}

func (c *checker) checkServers(service string, servers []serverEntry) {
	seen := map[string]string{}
	for i, b := range servers {
		key := fmt.Sprintf("%s.backend-server[%d]", service, i)
		address, err := netip.ParseAddrPort(b.Address)
		if err != nil || address.Port() == 0 {
			addError[AddressError](c, key+".address",
				fmt.Sprintf("bad address %q", b.Address), `write IP:port, such as "127.0.0.1:9001"`)
		} else {
			c.checkUnique(seen, "backend server", b.Address, key+".address")
		}
		c.checkName(key+".availability-zone", b.AvailabilityZone)
		c.checkMinimum(key+".slots", b.Slots, 1)
		c.checkMinimum(key+".connections", b.Connections, 1)
	}
}

func (c *checker) checkRoutes(d document) {
	names, matches := map[string]string{}, map[string]string{}
	for i, r := range d.Routes {
		key := fmt.Sprintf("route[%d]", i)
		c.checkName(key+".name", r.Name)
		c.checkUnique(names, "route", r.Name, key+".name")
		c.checkDuration(key+".timeout", r.Timeout)
		if !httpMethodPattern.MatchString(r.Method) {
			addError[ChoiceError](c, key+".method",
				fmt.Sprintf("bad method %q", r.Method), `write an HTTP method in capitals, such as "GET"`)
		}
		if !strings.HasPrefix(r.PathPrefix, "/") {
			addError[ChoiceError](c, key+".path-prefix",
				fmt.Sprintf("bad path prefix %q", r.PathPrefix), `write a path that starts with "/"`)
		} else {
			c.checkUnique(matches, "route for", r.Method+" "+r.PathPrefix, key+".path-prefix")
		}
		c.checkReference(key+".rank", "rank", r.Rank, rankNames(d))
		c.checkReference(key+".service", "service", r.Service, slices.Sorted(maps.Keys(d.Services)))
	}
}

func (c *checker) checkTenants(d document) {
	seen := map[string]string{}
	services := slices.Sorted(maps.Keys(d.Services))
	for _, name := range slices.Sorted(maps.Keys(d.Tenants)) {
		t, key := d.Tenants[name], "tenant."+name
		c.checkName(key, name)
		if !tokenHashPattern.MatchString(t.TokenSHA256) {
			addError[TokenHashError](c, key+".token-sha256", "bad token hash",
				"write the SHA-256 of the bearer token as 64 lower-case hex digits (printf %s TOKEN | sha256sum)")
		} else {
			c.checkUnique(seen, "token hash", t.TokenSHA256, key+".token-sha256")
		}
		for i, s := range t.Services {
			c.checkReference(fmt.Sprintf("%s.services[%d]", key, i), "service", s, services)
		}
		if !(t.RequestsPerSecond >= 0) || math.IsInf(t.RequestsPerSecond, 1) {
			addError[RangeError](c, key+".requests-per-second",
				fmt.Sprintf("%v is not a rate", t.RequestsPerSecond), "write a number above 0, or leave the key out for no limit")
		}
		c.checkMinimum(key+".burst", t.Burst, 0)
		c.checkMinimum(key+".in-flight", t.InFlight, 0)
	}
}

func rankNames(d document) []string {
	names := make([]string, len(d.Ranks))
	for i, r := range d.Ranks {
		names[i] = r.Name
	}
	return names
}

// checkReference checks a reference only if the file defines any names of that kind. Otherwise another file may define
// the name. If no file does, Merge reports it, and a route with a dangling reference refuses its requests.
func (c *checker) checkReference(key, kind, name string, defined []string) {
	if name == "" {
		c.addMissing(key)
		return
	}
	if len(defined) == 0 || slices.Contains(defined, name) {
		return
	}
	addError[ReferenceError](c, key, fmt.Sprintf("no %s %q in this file", kind, name),
		"write one of "+strings.Join(defined, ", ")+", or define it here")
}

func (c *checker) checkName(key, name string) {
	if name == "" {
		c.addMissing(key)
		return
	}
	if !kebabCasePattern.MatchString(name) {
		addError[NameError](c, key, fmt.Sprintf("bad name %q", name),
			"write lower-case letters and digits, with single hyphens between words")
	}
}

func (c *checker) addMissing(key string) {
	addError[MissingKeyError](c, key, "missing", "write a value for this key")
}

// checkUnique records the key of the name in seen, and adds an error if the name is already there.
func (c *checker) checkUnique(seen map[string]string, kind, name, key string) {
	if name == "" {
		return
	}
	if first, found := seen[name]; found {
		addError[DuplicateError](c, key, fmt.Sprintf("%s %q is there twice", kind, name),
			fmt.Sprintf("remove it here, or change the first in line %d", c.lines.line(first)))
		return
	}
	seen[name] = key
}

func (c *checker) checkMinimum(key string, n, minimum int) {
	if n < minimum {
		addError[RangeError](c, key, fmt.Sprintf("%d is too low", n),
			fmt.Sprintf("write %d or more", minimum))
	}
}

func (c *checker) checkFraction(key string, v float64) {
	if !(v >= 0 && v <= 1) {
		addError[RangeError](c, key, fmt.Sprintf("%v is outside 0 to 1", v),
			"write a fraction of the slots such as 0.5, or leave the key out for all of them")
	}
}

func (c *checker) checkDuration(key, text string) {
	if text == "" {
		return
	}
	if d, err := time.ParseDuration(text); err != nil || d < 0 {
		addError[DurationError](c, key, fmt.Sprintf("bad duration %q", text),
			`write a number with a unit of ms, s, m or h, such as "2s"`)
	}
}
