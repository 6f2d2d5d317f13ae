package peerapi

// ServiceLoads is the section of a report about demand and capacity.
type ServiceLoads struct{}
