package configquery

import (
	"fmt"
	"net/http"
	"testing"

	"egretline.example/egretline/pkg/configfile"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/table"
)

func BenchmarkRoute(b *testing.B) {
	for _, routes := range []int{60, 1_200, 5_400} {
		b.Run(fmt.Sprintf("routes=%d", routes), func(b *testing.B) {
			q := queryWithRoutes(routes)
			b.ReportAllocs()
			var i int
			for b.Loop() {
				i++
				path := fmt.Sprintf("/service-%d/route-%d/record/7", i%260, i%(routes/20+1))
				q.Route(http.MethodGet, path)
			}
		})
	}
}

func queryWithRoutes(routes int) Query {
	f := fleet.File{Name: "bench.toml", Ranks: []fleet.Rank{{Name: "lookups", Share: 1}}}
	for i := range routes {
		service := fmt.Sprintf("service-%d", i%260)
		if i < 260 {
			f.Services = append(f.Services, fleet.Service{Name: service})
		}
		f.Routes = append(f.Routes, fleet.Route{
			Name: fmt.Sprint(i), Service: service, Method: http.MethodGet, Rank: "lookups",
			PathPrefix: fmt.Sprintf("/%s/route-%d", service, i/260),
		})
	}
	config := guard.New(table.RankConfig, table.Config{Compiled: configfile.Merge([]fleet.File{f})})
	return Query{Config: config}
}
