// Package api defines the messages between nodes, callers, backend servers, platform services and operators. It contains
// no logic.
package api
