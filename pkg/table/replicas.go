package table

import (
	"egretline.example/egretline/internal/decide/registry"
	"egretline.example/egretline/internal/decide/replica"
)

// Topic names a topic of the platform's log of which nodes keep a copy.
type Topic string

// Topics of which nodes keep a copy.
const (
	TopicConfiguration  Topic = "configuration"
	TopicBackendServers Topic = "backend-servers"
	TopicHosts          Topic = "hosts"
)

// Replicas is the node's copies of topics of the platform's log, and what it decoded from them.
type Replicas struct {
	Topics map[Topic]*replica.State
	// Registry is the decoded form of the topic of backend servers.
	Registry registry.State
}

func newReplicas() Replicas {
	return Replicas{
		Topics: map[Topic]*replica.State{
			TopicConfiguration: {}, TopicBackendServers: {}, TopicHosts: {},
		},
		Registry: registry.State{Entries: map[string]registry.Entry{}},
	}
}
