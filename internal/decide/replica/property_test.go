package replica

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// model is a log with replicas that read it and each other. Everything that is on its way may arrive late, twice or never.
type model struct {
	// Logs holds the log of each era, with all records from offset 0. A record without a value removes its key.
	Logs     [][]Record
	Replicas []State
	Requests []modelRequest
	Reads    []modelRead
	Batches  []modelBatch
}

// modelRequest is a sync request from one replica to another.
type modelRequest struct {
	From, To    int
	Era, Cursor int64
}

// modelRead is a read of the newest records of which the first page has arrived. The second page starts at key Split.
type modelRead struct {
	To    int
	Split string
	Batch Batch
}

// modelBatch is a batch on its way to a replica.
type modelBatch struct {
	To    int
	Batch Batch
}

// era returns the present era, and log its records.
func (m *model) era() int64    { return int64(len(m.Logs)) - 1 }
func (m *model) log() []Record { return m.Logs[m.era()] }

// valuesAt returns the values of all keys after the records of the log below the offset.
func valuesAt(log []Record, end int64) map[string]Record {
	values := map[string]Record{}
	for _, r := range log[:end] {
		values[r.Key] = r
		if len(r.Value) == 0 {
			delete(values, r.Key)
		}
	}
	return values
}

// newest returns the newest records of the keys between two keys.
func (m *model) newest(from, before string) []Record {
	var list []Record
	for key, r := range valuesAt(m.log(), int64(len(m.log()))) {
		if key >= from && key < before {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b Record) int { return cmp.Compare(a.Key, b.Key) })
	return list
}

func (m *model) send(to int, b Batch) {
	b.AsOf = startTime
	m.Batches = append(m.Batches, modelBatch{To: to, Batch: b})
}

// take calls use with an element of the list, if there is one, and removes it unless it may be used again.
func take[T any](t *rapid.T, list *[]T, again bool, use func(T)) {
	if len(*list) == 0 {
		return
	}
	k := rapid.IntRange(0, len(*list)-1).Draw(t, "index")
	item := (*list)[k]
	if !again {
		*list = slices.Delete(*list, k, k+1)
	}
	use(item)
}

const (
	modelKeys = 4
	maxEras   = 3
	lastKey   = "~"
)

func (m *model) actions() map[string]func(*rapid.T) {
	replica := func(t *rapid.T, label string) int { return rapid.IntRange(0, len(m.Replicas)-1).Draw(t, label) }
	again := func(t *rapid.T) bool { return rapid.Bool().Draw(t, "arrives again") }
	return map[string]func(*rapid.T){
		"append": func(t *rapid.T) {
			key := fmt.Sprint(rapid.IntRange(0, modelKeys-1).Draw(t, "key"))
			value := rapid.SampledFrom([]string{"", "x", "y"}).Draw(t, "value")
			m.Logs[m.era()] = append(m.log(), Record{Key: key, Value: []byte(value), Offset: int64(len(m.log()))})
		},
		"restore an older copy of the log": func(t *rapid.T) {
			if len(m.Logs) < maxEras {
				end := rapid.IntRange(0, len(m.log())).Draw(t, "end")
				m.Logs = append(m.Logs, slices.Clone(m.log()[:end]))
			}
		},
		"read the log": func(t *rapid.T) {
			to := replica(t, "reader")
			next, end := m.Replicas[to].Next, int64(len(m.log()))
			if next == 0 || next > end {
				return // the newest records are read
			}
			end = rapid.Int64Range(next, end).Draw(t, "end")
			m.send(to, Batch{Era: m.era(), Records: slices.Clone(m.log()[next:end]), Next: end, Uncompacted: true})
		},
		"read the first page of the newest records": func(t *rapid.T) {
			split := fmt.Sprint(rapid.IntRange(0, modelKeys).Draw(t, "split"))
			b := Batch{Era: m.era(), Records: m.newest("", split), Next: int64(len(m.log())), Full: true}
			m.Reads = append(m.Reads, modelRead{To: replica(t, "reader"), Split: split, Batch: b})
		},
		"read the second page": func(t *rapid.T) {
			take(t, &m.Reads, false, func(r modelRead) {
				if r.Batch.Era == m.era() { // the store's client starts again otherwise
					r.Batch.Records = append(r.Batch.Records, m.newest(r.Split, lastKey)...)
					m.send(r.To, r.Batch)
				}
			})
		},
		"request": func(t *rapid.T) {
			from := replica(t, "from")
			s := &m.Replicas[from]
			m.Requests = append(m.Requests, modelRequest{From: from, To: replica(t, "to"), Era: s.Era, Cursor: s.Next})
		},
		"answer": func(t *rapid.T) {
			take(t, &m.Requests, again(t), func(r modelRequest) {
				if s := &m.Replicas[r.To]; !s.AsOf.IsZero() {
					m.send(r.From, Delta(s, r.Era, r.Cursor))
				}
			})
		},
		"deliver": func(t *rapid.T) {
			take(t, &m.Batches, again(t), func(b modelBatch) {
				s := &m.Replicas[b.To]
				era, next := s.Era, s.Next
				Apply(s, b.Batch, nil, startTime)
				if s.Era < era || s.Era == era && s.Next < next {
					t.Fatalf("replica %d went back from era %d offset %d to era %d offset %d", b.To, era, next, s.Era, s.Next)
				}
			})
		},
		"drop tombstones": func(t *rapid.T) {
			s := &m.Replicas[replica(t, "replica")]
			clear(s.Tombstones)
			s.DeltasFrom = s.Next
		},
		"restart": func(t *rapid.T) {
			k := replica(t, "replica")
			m.Replicas[k] = State{}
			// What was sent to the previous process does not reach the new one.
			m.Requests = slices.DeleteFunc(m.Requests, func(r modelRequest) bool { return r.From == k })
			m.Reads = slices.DeleteFunc(m.Reads, func(r modelRead) bool { return r.To == k })
			m.Batches = slices.DeleteFunc(m.Batches, func(b modelBatch) bool { return b.To == k })
		},
		"": func(t *rapid.T) {
			for k := range m.Replicas {
				assertComplete(t, m, k)
			}
		},
	}
}

// assertComplete checks that the replica holds for each key what the log held at its Next or later.
func assertComplete(t *rapid.T, m *model, k int) {
	s := &m.Replicas[k]
	for key := range modelKeys {
		key := fmt.Sprint(key)
		held := string(s.Records[key].Value)
		found := false
		log := m.Logs[s.Era]
		for end := s.Next; end <= int64(len(log)) && !found; end++ {
			found = string(valuesAt(log, end)[key].Value) == held
		}
		if !found {
			t.Fatalf("replica %d at offset %d of era %d holds %q for key %s, which the log never held from there on", k, s.Next, s.Era, held, key)
		}
	}
}

// Guards against replicas that revert to an older record, restore a removed key or miss a change, because copies and deltas
// arrive in any order, late or twice, at replicas that restart, and because the log comes back from an older copy.
func TestReplicaProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{Replicas: make([]State, 3), Logs: [][]Record{nil}}
		t.Repeat(m.actions())
		for k := range m.Replicas {
			b := Batch{Era: m.era(), Records: m.newest("", lastKey), Next: int64(len(m.log())), Full: true, AsOf: startTime}
			Apply(&m.Replicas[k], b, nil, startTime)
			assertComplete(t, m, k)
		}
	})
}
