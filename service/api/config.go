package api

// Outcomes of an apply request.
const (
	ApplyAccepted = "accepted"
	ApplyConflict = "conflict"
	ApplyRefused  = "refused"
	ApplyUnknown  = "unknown"
)

// ApplyRequest is an operator's request to replace one configuration file.
type ApplyRequest struct {
	// ApplyID is random. Repeating a request with the same ID and contents has no further effect.
	ApplyID string `json:"apply-id"`
	File    string `json:"file"`
	// Base is the revision of the file that the change is based on; 0 for a new file.
	Base     int64  `json:"base"`
	Contents []byte `json:"contents"`
}

// ApplyReply is the result of an apply request. It is also the response to a query for an apply ID.
type ApplyReply struct {
	Outcome string `json:"outcome"`
	ApplyID string `json:"apply-id"`
	File    string `json:"file"`
	Base    int64  `json:"base"`
	// Revision is the revision of the file after an accepted apply, or the one that a conflicting apply was checked
	// against.
	Revision int64     `json:"revision"`
	Reason   string    `json:"reason"`
	Problems []Problem `json:"problems,omitempty"`
}

// Problem is an error in a configuration file.
type Problem struct {
	File    string `json:"file"`
	Line    int    `json:"line,omitempty"`
	Key     string `json:"key"`
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
}

// Config is the response of GET /operator/config: the configuration in force at a node.
type Config struct {
	// Configured is false if the node has no configuration yet, in which case it is not ready.
	Configured bool  `json:"configured"`
	Revision   int64 `json:"revision"`
	// Next is the offset of the next log record to read.
	Next  int64        `json:"next"`
	Files []ConfigFile `json:"files"`
	// Problems lists inconsistencies between files, such as those that make routes refuse all requests.
	Problems []Problem `json:"problems"`
}

// ConfigFile is one configuration file.
type ConfigFile struct {
	Name     string `json:"name"`
	Revision int64  `json:"revision"`
	Bytes    int    `json:"bytes"`
	// Contents is set only if the query names the file.
	Contents []byte `json:"contents,omitempty"`
}
