package healthquery

import (
	"fmt"
	"time"

	"egretline.example/egretline/internal/decide/notice"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/table"
)

// WithheldError reports a request that was not sent, because the server asked for no more requests after it had been
// chosen.
type WithheldError struct {
	Address string
	Notice  notice.State
}

func (e WithheldError) Error() string {
	if e.Notice.Leaving {
		return fmt.Sprintf("backend server %s announced that it is leaving", e.Address)
	}
	return fmt.Sprintf("backend server %s asked for no requests until %s", e.Address, e.Notice.PausedUntil.Format(time.RFC3339Nano))
}

// CheckSend returns a WithheldError if the run of the server has asked for no more requests. It covers the time between
// the choice of the server and the write to its connection, in which a response to another request may arrive.
func (q *Queries) CheckSend(now time.Time, s fleet.BackendServer) error {
	var n notice.State
	q.Tables.Backends.Read(guard.Held{}, func(_ guard.Held, b *table.Backends) { n = b.Notices.Get(notice.RunOf(s)) })
	if n.Permits(now) {
		return nil
	}
	return WithheldError{Address: s.Address, Notice: n}
}
