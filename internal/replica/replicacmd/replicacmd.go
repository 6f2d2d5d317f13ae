// Package replicacmd keeps the node's copies of topics of the platform's log up to date. It changes the Replicas table.
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

// Log reads topics that hold the newest record of each key.
type Log interface {
	// Read returns the records from the offset on. It returns ExpiredError if they are no longer kept.
	Read(ctx context.Context, topic table.Topic, from int64) (replica.Batch, error)
	// Newest returns the newest record of each key.
	Newest(ctx context.Context, topic table.Topic) (replica.Batch, error)
}

// Decoder decodes the records of the topics that others write.
type Decoder interface {
	// Configuration returns the configuration of a record, without backend servers.
	Configuration(value []byte) (*fleet.Configuration, error)
	// BackendServer returns the registration of a record.
	BackendServer(key string, value []byte) (registry.Registration, error)
}

// ExpiredError reports records that the log no longer keeps.
type ExpiredError struct{}

func (ExpiredError) Error() string { return "the log no longer keeps the records that were asked for" }

// Commands changes the Replicas table and the Config table.
type Commands struct {
	Tables  *table.Tables
	Log     Log
	Decoder Decoder
	Logger  zerolog.Logger
	// SharingNodes is the number of nodes that are assumed to share the slots of a backend server.
	SharingNodes int
}

// New returns the commands of one node.
func New(t *table.Tables, log Log, d Decoder, sharers int, logger zerolog.Logger) *Commands {
	return &Commands{Tables: t, Log: log, Decoder: d, Logger: logger, SharingNodes: sharers}
}

// Refresh brings the copy of the topic up to date from the log, and says whether anything changed.
func (c *Commands) Refresh(ctx context.Context, topic table.Topic) (bool, error) {
	var next int64
	c.Tables.Replicas.Read(guard.Held{}, func(_ guard.Held, r *table.Replicas) { next = r.Topics[topic].Next })
	asOf := time.Now()
	batch, err := c.readSince(ctx, topic, next)
	if err != nil {
		return false, err
	}
	batch.AsOf = asOf
	return c.Apply(topic, batch, "log"), nil
}

func (c *Commands) readSince(ctx context.Context, topic table.Topic, next int64) (replica.Batch, error) {
	if next == 0 {
		return c.readNewest(ctx, topic)
	}
	batch, err := c.Log.Read(ctx, topic, next)
	var expired ExpiredError
	if errors.As(err, &expired) {
		return c.readNewest(ctx, topic)
	}
	return batch, eris.Wrapf(err, "read topic %s", topic)
}

func (c *Commands) readNewest(ctx context.Context, topic table.Topic) (replica.Batch, error) {
	batch, err := c.Log.Newest(ctx, topic)
	return batch, eris.Wrapf(err, "read newest records of topic %s", topic)
}

// Apply applies a batch from the log or from a peer, and says whether anything changed.
func (c *Commands) Apply(topic table.Topic, batch replica.Batch, source string) bool {
	now := time.Now()
	var changes replica.Changes
	c.Tables.Replicas.Write(guard.Held{}, func(_ guard.Held, r *table.Replicas) {
		state := r.Topics[topic]
		changes = replica.Apply(state, batch, c.recordComparison(topic), now)
		if topic == table.TopicBackendServers {
			c.updateRegistry(&r.Registry, changes, state.Regained, now)
		}
	})
	if changes.Empty() {
		return false
	}
	c.Logger.Info().Str("topic", string(topic)).Str("source", source).Int("set", len(changes.Set)).
		Strs("removed", changes.Removed).Int64("next-offset", batch.Next).
		Dur("age-ms", now.Sub(batch.AsOf)).Msg("copy of topic changed")
	if topic == table.TopicConfiguration {
		c.applyConfiguration(changes)
	}
	if topic != table.TopicHosts {
		c.joinRegistry()
	}
	return true
}

// recordComparison returns the comparison of records of the topic. Heartbeats of backend servers change nothing.
func (c *Commands) recordComparison(topic table.Topic) func(a, b []byte) bool {
	if topic != table.TopicBackendServers {
		return nil
	}
	return func(a, b []byte) bool {
		old, err := c.Decoder.BackendServer("", a)
		if err != nil {
			return false
		}
		changed, err := c.Decoder.BackendServer("", b)
		return err == nil && old == changed
	}
}

func (c *Commands) updateRegistry(s *registry.State, changes replica.Changes, regained, now time.Time) {
	for _, r := range changes.Set {
		server, err := c.Decoder.BackendServer(r.Key, r.Value)
		if err != nil {
			// A record of a foreign writer names no server, and replaces what its key held.
			c.Logger.Warn().Err(err).Str("key", r.Key).Int64("offset", r.Offset).Msg("entry of a backend server is ignored")
			registry.Remove(s, r.Key, time.Time{}, now)
			continue
		}
		registry.Set(s, server, r.Offset)
		c.Logger.Info().Str("backend-server", server.Address).Str("instance", server.Instance).
			Str("service", server.Service).Bool("draining", server.Draining).Int64("offset", r.Offset).
			Msg("backend server entered")
	}
	for _, key := range changes.Removed {
		registry.Remove(s, key, regained, now)
	}
}

// Expire drops backend servers whose entry was removed and that have not come back in time.
func (c *Commands) Expire(now time.Time) bool {
	var expired bool
	c.Tables.Replicas.Write(guard.Held{}, func(_ guard.Held, r *table.Replicas) { expired = registry.Expire(&r.Registry, now) })
	if expired {
		c.joinRegistry()
	}
	return expired
}

// applyConfiguration puts a newer configuration into force. A configuration never goes back: a lower revision is ignored.
func (c *Commands) applyConfiguration(changes replica.Changes) {
	for _, r := range changes.Set {
		decoded, err := c.Decoder.Configuration(r.Value)
		if err != nil {
			c.Logger.Error().Err(err).Int64("offset", r.Offset).Msg("configuration refused")
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

// joinRegistry joins the configuration in force with the registry of backend servers.
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
