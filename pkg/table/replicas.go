package table

import (
	"egretline.example/egretline/internal/decide/registry"
	"egretline.example/egretline/internal/decide/replica"
)

// Topic is the name of a log topic that nodes replicate.
type Topic string

// Replicated topics of the platform's log.
const (
	TopicConfiguration  Topic = "configuration"
	TopicBackendServers Topic = "backend-servers"
	TopicHosts          Topic = "hosts"
)

// Replicas holds the node's replicas of compacted log topics, and the state decoded from them.
type Replicas struct {
	Topics map[Topic]*replica.State
	// Registry is the decoded content of the backend-servers topic.
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
