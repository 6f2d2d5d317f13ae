package peerapi

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func assertRejected(t *testing.T, body string) {
	t.Helper()
	var u CustomerUsage
	if json.Unmarshal([]byte(body), &u) == nil && u.Check() == nil {
		t.Errorf("%.60s was accepted", body)
	}
}

// Guards against counts from a faulty peer that make the limits of customers unusable.
func TestCustomerUsage(t *testing.T) {
	t.Run("a section is decoded as it was encoded", func(t *testing.T) {
		is := is.New(t)
		sent := CustomerUsage{Customers: []CustomerTotal{{Name: "hotel", Since: 3, Used: 12.5, Level: -4}}}
		body, err := json.Marshal(sent)
		is.NoErr(err)
		is.Equal(string(body), `{"totals":[["hotel",3,12.5,-4]]}`)
		var received CustomerUsage
		is.NoErr(json.Unmarshal(body, &received))
		is.Equal(received, sent)
	})
	for name, body := range map[string]string{
		"no name":            `{"totals":[["",1,1,1]]}`,
		"a long name":        `{"totals":[["` + strings.Repeat("x", 200) + `",1,1,1]]}`,
		"a missing field":    `{"totals":[["hotel",1,1]]}`,
		"a negative total":   `{"totals":[["hotel",1,-1,1]]}`,
		"a huge total":       `{"totals":[["hotel",1,1e300,1]]}`,
		"a huge level":       `{"totals":[["hotel",1,1,-1e300]]}`,
		"a field as text":    `{"totals":[["hotel",1,"1",1]]}`,
		"too many customers": `{"totals":[["h",1,1,1]` + strings.Repeat(`,["h",1,1,1]`, MaxCustomers) + `]}`,
	} {
		t.Run(name, func(t *testing.T) { assertRejected(t, body) })
	}
}

// FuzzCustomerUsage guards against a panic in the decoder, and against accepted values that change when they are sent on.
func FuzzCustomerUsage(f *testing.F) {
	for _, seed := range []string{
		`{"totals":[["hotel",3,12.5,-4],["clinic",1,0,0]]}`, `{"partial":true}`, `{"totals":[[]]}`, `{"totals":[["h",-1,1e999,null]]}`, `[`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		var u, again CustomerUsage
		if json.Unmarshal(body, &u) != nil || u.Check() != nil {
			return
		}
		encoded, err := json.Marshal(u)
		is.New(t).NoErr(err)
		is.New(t).NoErr(json.Unmarshal(encoded, &again))
		is.New(t).NoErr(again.Check())
		is.New(t).True(len(u.Customers) == 0 || reflect.DeepEqual(u, again))
	})
}
