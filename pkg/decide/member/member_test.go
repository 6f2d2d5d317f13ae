package member

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"egretline.example/egretline/pkg/fleet"
)

var (
	start = time.Unix(1000, 0)
	hostA = fleet.Host{ID: "a", PeerAddress: "10.0.0.1:1"}
)

func newView() *View { return &View{Hosts: map[string]HostState{}} }

func at(d time.Duration) time.Time { return start.Add(d) }

func heartbeatOf(incarnation string) Heartbeat {
	return Heartbeat{Host: hostA, Incarnation: incarnation}
}

func assertLive(t *testing.T, v *View, now time.Time, want bool) {
	t.Helper()
	s, known := v.Hosts["a"]
	is.New(t).Equal(known && Live(*v, s, now), want)
}

func failContacts(v *View, now time.Time) {
	for range FailureLimit {
		RecordContact(v, "a", false, now)
	}
}

func TestHostList(t *testing.T) {
	t.Run("a listed host is live before its first heartbeat", func(t *testing.T) {
		v := newView()
		AdoptHostList(v, "self", []fleet.Host{hostA}, start)
		assertLive(t, v, at(time.Hour), true)
	})
	t.Run("the node itself is excluded", func(t *testing.T) {
		v := newView()
		AdoptHostList(v, "a", []fleet.Host{hostA}, start)
		assertLive(t, v, start, false)
	})
	t.Run("a host that is not on the list yet is live while its heartbeats arrive", func(t *testing.T) {
		v := newView()
		AdoptHeartbeat(v, heartbeatOf("1"), start)
		AdoptHostList(v, "self", nil, at(time.Second))
		assertLive(t, v, at(SilenceTimeout), true)
		assertLive(t, v, at(SilenceTimeout+1), false)
	})
	t.Run("a silent host that is no longer on the list is removed", func(t *testing.T) {
		v := newView()
		AdoptHostList(v, "self", []fleet.Host{hostA}, start)
		AdoptHostList(v, "self", nil, at(time.Second))
		is.New(t).Equal(len(v.Hosts), 0)
	})
	t.Run("hosts of the last list stay live while no newer list arrives", func(t *testing.T) {
		v := newView()
		AdoptHostList(v, "self", []fleet.Host{hostA}, start)
		assertLive(t, v, at(24*time.Hour), true)
	})
	t.Run("an outdated list does not clear the leaving state of a host", func(t *testing.T) {
		v := newView()
		leaving := heartbeatOf("1")
		leaving.Host.Leaving = true
		AdoptHeartbeat(v, leaving, start)
		AdoptHostList(v, "self", []fleet.Host{hostA}, at(time.Second))
		is.New(t).True(v.Hosts["a"].Host.Leaving)
	})
	t.Run("a host with a new address starts without failed contacts", func(t *testing.T) {
		v := newView()
		AdoptHostList(v, "self", []fleet.Host{hostA}, start)
		failContacts(v, start)
		assertLive(t, v, start, false)
		moved := hostA
		moved.PeerAddress = "10.0.0.2:1"
		AdoptHostList(v, "self", []fleet.Host{moved}, at(time.Second))
		assertLive(t, v, at(time.Second), true)
	})
}

func TestOwnObservation(t *testing.T) {
	t.Run("a host stays live after one failed contact", func(t *testing.T) {
		v := newView()
		AdoptHostList(v, "self", []fleet.Host{hostA}, start)
		RecordContact(v, "a", false, start)
		assertLive(t, v, start, true)
	})
	t.Run("a silent host on the list is not live after repeated failed contacts", func(t *testing.T) {
		v := newView()
		AdoptHostList(v, "self", []fleet.Host{hostA}, start)
		failContacts(v, start)
		assertLive(t, v, start, false)
		RecordContact(v, "a", true, at(time.Second))
		assertLive(t, v, at(time.Second), true)
	})
	t.Run("a host behind a one-way partition is live but not reachable", func(t *testing.T) {
		v := newView()
		AdoptHeartbeat(v, heartbeatOf("1"), start)
		failContacts(v, start)
		assertLive(t, v, start, true)
		is.New(t).Equal(Reachable(v.Hosts["a"]), false)
	})
	t.Run("a contact with an unknown host is ignored", func(t *testing.T) {
		v := newView()
		RecordContact(v, "a", true, start)
		is.New(t).Equal(len(v.Hosts), 0)
	})
}

func TestIncarnations(t *testing.T) {
	t.Run("identifiers sort by start time", func(t *testing.T) {
		is.New(t).True(Incarnation(start, 9) < Incarnation(at(time.Nanosecond), 0))
	})
	t.Run("a delayed heartbeat of the previous incarnation is ignored", func(t *testing.T) {
		is := is.New(t)
		v := newView()
		is.Equal(AdoptHeartbeat(v, heartbeatOf("2"), start), Adopted)
		is.Equal(AdoptHeartbeat(v, heartbeatOf("1"), at(time.Second)), Superseded)
		is.Equal(v.Hosts["a"].Incarnation, "2")
	})
	t.Run("a restart at the same address is a new incarnation that is not leaving", func(t *testing.T) {
		is := is.New(t)
		v := newView()
		leaving := heartbeatOf("1")
		leaving.Host.Leaving = true
		leaving.Epoch = 7
		AdoptHeartbeat(v, leaving, start)
		is.Equal(AdoptHeartbeat(v, heartbeatOf("2"), at(time.Second)), Adopted)
		is.Equal(v.Hosts["a"].Host.Leaving, false)
		is.Equal(v.Hosts["a"].Epoch, int64(0)) // keys with an epoch of the previous incarnation would be refused
	})
	t.Run("a host whose clock was set back is adopted once the previous incarnation is silent", func(t *testing.T) {
		v := newView()
		AdoptHeartbeat(v, heartbeatOf("2"), start)
		is.New(t).Equal(AdoptHeartbeat(v, heartbeatOf("1"), at(SilenceTimeout+1)), Adopted)
	})
	t.Run("heartbeats of one incarnation in wrong order do not clear the leaving state", func(t *testing.T) {
		v := newView()
		leaving := heartbeatOf("1")
		leaving.Host.Leaving = true
		AdoptHeartbeat(v, leaving, start)
		AdoptHeartbeat(v, heartbeatOf("1"), at(time.Second))
		is.New(t).True(v.Hosts["a"].Host.Leaving)
	})
}

func TestPause(t *testing.T) {
	t.Run("the silence timeout of other hosts does not include a pause of the node", func(t *testing.T) {
		is := is.New(t)
		v := newView()
		AdoptHeartbeat(v, heartbeatOf("1"), start)
		is.Equal(Tick(v, start), false)
		is.Equal(Tick(v, at(time.Minute)), true)
		assertLive(t, v, at(time.Minute), true)
		assertLive(t, v, at(time.Minute+SilenceTimeout+1), false)
	})
	t.Run("a late tick is not a pause", func(t *testing.T) {
		v := newView()
		Tick(v, start)
		is.New(t).Equal(Tick(v, at(HeartbeatInterval+PauseThreshold)), false)
	})
}

// Guards against a host that is not live although its heartbeats arrive, for some order of host lists, heartbeats and
// failed contacts.
func TestHostWithHeartbeatsIsLive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := newView()
		now := start
		incarnation := 10
		lastHeartbeat := time.Time{}
		t.Repeat(map[string]func(*rapid.T){
			"advance": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 7000).Draw(t, "ms")) * time.Millisecond)
			},
			"list": func(t *rapid.T) {
				AdoptHostList(v, "self", [][]fleet.Host{nil, {hostA}}[rapid.IntRange(0, 1).Draw(t, "listed")], now)
			},
			"beat": func(t *rapid.T) {
				incarnation += rapid.IntRange(0, 1).Draw(t, "restart")
				if AdoptHeartbeat(v, heartbeatOf(Incarnation(time.Unix(int64(incarnation), 0), 0)), now) != Adopted {
					t.Fatal("a heartbeat of the newest incarnation was ignored")
				}
				lastHeartbeat = now
			},
			"old beat": func(*rapid.T) {
				if AdoptHeartbeat(v, heartbeatOf(Incarnation(time.Unix(1, 0), 0)), now) == Adopted {
					lastHeartbeat = now
				}
			},
			"failure": func(*rapid.T) { RecordContact(v, "a", false, now) },
			"": func(t *rapid.T) {
				s, known := v.Hosts["a"]
				if !lastHeartbeat.IsZero() && now.Sub(lastHeartbeat) <= SilenceTimeout && (!known || !Live(*v, s, now)) {
					t.Fatal("a host is not live although its last heartbeat is within the silence timeout")
				}
			},
		})
	})
}
