package dispatchcmd

import (
	"egretline.example/egretline/internal/decide/split"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/table"
)

// NextService returns the service for the next request of the route, and advances the weighted split of the route.
func (d *Dispatcher) NextService(r fleet.Route) string {
	if len(r.Split) == 0 {
		return r.Service
	}
	var service string
	d.Tables.Queues.Write(guard.Held{}, func(_ guard.Held, q *table.Queues) {
		s, found := q.Splits[r.Name]
		if !found {
			s = &split.State{}
			q.Splits[r.Name] = s
		}
		service = split.Next(s, r.Split)
	})
	return service
}
