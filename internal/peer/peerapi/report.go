package peerapi

// CustomerUsage is the section of a report about the quotas of customers.
type CustomerUsage struct{}

// ServiceLoads is the section of a report about demand and capacity.
type ServiceLoads struct{}
