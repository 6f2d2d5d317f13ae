package api

// Outcomes of an apply.
const (
	ApplyAccepted = "accepted"
	ApplyConflict = "conflict"
	ApplyRefused  = "refused"
	ApplyUnknown  = "unknown"
)

// ApplyRequest is an operator's request to replace one configuration file.
type ApplyRequest struct {
	// ApplyID is random. A request with the same ID and contents can be repeated without effect.
	ApplyID string `json:"apply-id"`
	File    string `json:"file"`
	// Base is the revision of the file that the operator saw; 0 for a new file.
	Base     int64  `json:"base"`
	Contents []byte `json:"contents"`
}

// ApplyReply says what became of an apply. It is also the response to a query for an apply ID.
type ApplyReply struct {
	Outcome string `json:"outcome"`
	ApplyID string `json:"apply-id"`
	File    string `json:"file"`
	Base    int64  `json:"base"`
	// Revision is the revision of the file after an accepted apply, or the one that a conflicting apply ran into.
	Revision int64     `json:"revision"`
	Reason   string    `json:"reason"`
	Problems []Problem `json:"problems,omitempty"`
}

// Problem is a fault in a configuration file.
type Problem struct {
	File    string `json:"file"`
	Line    int    `json:"line,omitempty"`
	Key     string `json:"key"`
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
}

// Config is the configuration that is in force at a node.
type Config struct {
	// Configured is false at a node that has no configuration, and is therefore not ready.
	Configured bool  `json:"configured"`
	Revision   int64 `json:"revision"`
	// Next is the offset of the first record of the log that the node has not read.
	Next  int64        `json:"next"`
	Files []ConfigFile `json:"files"`
	// Problems lists what is wrong between the files, such as routes that refuse.
	Problems []Problem `json:"problems"`
}

// ConfigFile is one configuration file.
type ConfigFile struct {
	Name     string `json:"name"`
	Revision int64  `json:"revision"`
	Bytes    int    `json:"bytes"`
	// Contents is given only if the query asks for the file.
	Contents []byte `json:"contents,omitempty"`
}
