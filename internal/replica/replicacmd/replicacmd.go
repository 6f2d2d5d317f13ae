// Package replicacmd updates the node's replicas of compacted topics of the platform's log. It writes the Replicas and
// Config tables.
package replicacmd

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"egretline.example/egretline/internal/decide/registry"
	"egretline.example/egretline/internal/decide/replica"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/table"
)

// Log reads compacted topics, which keep the newest record of each key.
type Log interface {
	// Read returns the records starting at the offset. It returns ExpiredError if the log does not have them. The batch may
	// belong to a later era than the offset.
	Read(ctx context.Context, topic table.Topic, from int64) (replica.Batch, error)
	// Newest returns the newest record of each key.
	Newest(ctx context.Context, topic table.Topic) (replica.Batch, error)
}

// Decoder decodes the records of topics that programs outside the fleet write.
type Decoder interface {
	// Configuration decodes a configuration record. The result contains no backend servers.
	Configuration(value []byte) (*fleet.Configuration, error)
	// BackendServer decodes the registration record of a backend server.
	BackendServer(key string, value []byte) (registry.Registration, error)
}

// ExpiredError reports a read of records that the log no longer keeps.
type ExpiredError struct{}

func (ExpiredError) Error() string { return "requested records have expired from the log" }

// Commands updates the Replicas table and the Config table of one node.
type Commands struct {
	Tables  *table.Tables
	Log     Log
	Decoder Decoder
	Logger  zerolog.Logger
	// SharingNodes is the number of nodes assumed to share the slots of a backend server.
	SharingNodes int
}

// New returns the commands for one node.
func New(t *table.Tables, log Log, d Decoder, sharingNodes int, logger zerolog.Logger) *Commands {
	return &Commands{Tables: t, Log: log, Decoder: d, Logger: logger, SharingNodes: sharingNodes}
}

// Refresh updates the replica of the topic from the log, and reports whether anything changed.
func (c *Commands) Refresh(ctx context.Context, topic table.Topic) (bool, error) {
	var era, next int64
	c.Tables.Replicas.Read(guard.Held{}, func(_ guard.Held, r *table.Replicas) {
		era, next = r.Topics[topic].Era, r.Topics[topic].Next
	})
	asOf := time.Now()
	batch, err := c.readSince(ctx, topic, era, next)
	if err != nil {
		return false, err
	}
	if !batch.Incomplete && batch.AsOf.IsZero() {
		batch.AsOf = asOf
	}
	return c.Apply(topic, batch, "log"), nil
}

// readSince reads the records from the next offset of an era, or the newest records if the log does not have that offset
// any more.
func (c *Commands) readSince(ctx context.Context, topic table.Topic, era, next int64) (replica.Batch, error) {
	if next == 0 {
		return c.readNewest(ctx, topic)
	}
	batch, err := c.Log.Read(ctx, topic, next)
	var expired ExpiredError
	if errors.As(err, &expired) || err == nil && batch.Era != era {
		return c.readNewest(ctx, topic)
	}
	return batch, eris.Wrapf(err, "read topic %s", topic)
}

func (c *Commands) readNewest(ctx context.Context, topic table.Topic) (replica.Batch, error) {
	batch, err := c.Log.Newest(ctx, topic)
	return batch, eris.Wrapf(err, "read newest records of topic %s", topic)
}

// Apply applies a batch from the log or from a peer, and reports whether anything changed.
func (c *Commands) Apply(topic table.Topic, batch replica.Batch, source string) bool {
	now := time.Now()
	var changes replica.Changes
	var age time.Duration
	var era, next int64 // those of the replica before the batch
	c.Tables.Replicas.Write(guard.Held{}, func(_ guard.Held, r *table.Replicas) {
		state := r.Topics[topic]
		era, next = state.Era, state.Next
		changes = replica.Apply(state, batch, c.recordComparison(topic), now)
		age = replica.Age(state, now)
		if topic == table.TopicBackendServers {
			c.updateRegistry(&r.Registry, changes, state, now)
		}
	})
	if batch.Era > era && batch.Full && next > 0 {
		c.Logger.Warn().Str("topic", string(topic)).Str("source", source).Int64("era", batch.Era).Int64("replica-era", era).
			Int64("next-offset", batch.Next).Int64("replica-next-offset", next).
			Msg("platform log has come back from an older copy; replica replaced by its newest records")
	}
	if changes.Empty() {
		return false
	}
	c.Logger.Info().Str("topic", string(topic)).Str("source", source).Int("set", len(changes.Set)).
		Strs("removed", changes.Removed).Int64("next-offset", batch.Next).
		Int64("replica-next-offset", next).Bool("full", batch.Full).Dur("age-ms", age).Bool("incomplete", batch.Incomplete).Msg("replica of log topic changed")
	if topic == table.TopicConfiguration {
		c.applyConfiguration(changes)
	}
	if topic != table.TopicHosts {
		c.joinRegistry()
	}
	return true
}

// recordComparison returns the equality function for records of the topic, or nil for a comparison of the bytes.
// Heartbeats of backend servers do not count as changes, and neither do changes of a record that stays malformed.
func (c *Commands) recordComparison(topic table.Topic) func(a, b []byte) bool {
	if topic != table.TopicBackendServers {
		return nil
	}
	return func(a, b []byte) bool {
		const anyInstance = "any" // the key is the same for both
		old, oldErr := c.Decoder.BackendServer(anyInstance, a)
		current, err := c.Decoder.BackendServer(anyInstance, b)
		return (oldErr == nil) == (err == nil) && old == current
	}
}

// updateRegistry applies changed records of the topic of backend servers to the registry.
func (c *Commands) updateRegistry(s *registry.State, changes replica.Changes, topic *replica.State, now time.Time) {
	for _, r := range changes.Set {
		server, err := c.Decoder.BackendServer(r.Key, r.Value)
		if err != nil {
			// A malformed record from another writer registers no server, and removes the previous registration under
			// its key.
			c.Logger.Warn().Err(err).Str("key", r.Key).Int64("offset", r.Offset).
				Msg("ignoring malformed backend server record")
			registry.Remove(s, r.Key, time.Time{}, now)
			continue
		}
		registry.Register(s, server, registry.Position{Era: topic.Era, Offset: r.Offset})
		c.Logger.Info().Str("backend-server", server.Address).Str("instance", server.Instance).
			Str("service", server.Service).Bool("draining", server.Draining).Int64("offset", r.Offset).
			Msg("backend server registered")
	}
	for _, key := range changes.Removed {
		if removeAt := registry.Remove(s, key, topic.OutageEnd, now); !removeAt.IsZero() {
			c.Logger.Info().Str("instance", key).Dur("outage-ended-ms", now.Sub(topic.OutageEnd)).Dur("held-ms", removeAt.Sub(now)).
				Msg("removal of backend server held; its registration may have expired during the outage of the log")
		}
	}
}

// Expire deletes backend servers that did not register again in time after the removal of their record, and reports
// whether there were any.
func (c *Commands) Expire(now time.Time) bool {
	var expired bool
	c.Tables.Replicas.Write(guard.Held{}, func(_ guard.Held, r *table.Replicas) {
		expired = registry.RemoveExpired(&r.Registry, now)
	})
	if expired {
		c.joinRegistry()
	}
	return expired
}

// applyConfiguration activates a newer configuration. Lower revisions are ignored, because the active revision never
// decreases.
func (c *Commands) applyConfiguration(changes replica.Changes) {
	for _, r := range changes.Set {
		decoded, err := c.Decoder.Configuration(r.Value)
		if err != nil {
			c.Logger.Error().Err(err).Int64("offset", r.Offset).Msg("ignoring invalid configuration record")
			continue
		}
		c.Tables.Config.Write(guard.Held{}, func(_ guard.Held, v *table.Config) {
			if v.Compiled == nil || v.Compiled.Revision < decoded.Revision {
				v.Compiled = decoded
				c.Logger.Info().Int64("revision", decoded.Revision).Int("routes", len(decoded.Routes)).
					Int64("offset", r.Offset).Msg("configuration in force")
			}
		})
	}
}

// joinRegistry adds the registered backend servers to the active configuration.
func (c *Commands) joinRegistry() {
	var pools map[string][]fleet.BackendServer
	c.Tables.Config.Write(guard.Held{}, func(h guard.Held, v *table.Config) {
		if v.Compiled == nil {
			return
		}
		c.Tables.Replicas.Read(h, func(_ guard.Held, r *table.Replicas) { pools = registry.Pools(&r.Registry) })
		joined := *v.Compiled
		joined.Services = make(map[string]fleet.Service, len(v.Compiled.Services))
		for name, s := range v.Compiled.Services {
			s.BackendServers = pools[name]
			s.GroupSize = c.SharingNodes
			joined.Services[name] = s
		}
		v.Compiled = &joined
	})
}
