// Package api holds the messages between the processes of the fleet, the platform and operators. It has no logic.
package api
