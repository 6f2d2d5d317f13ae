// Package api holds the JSON messages of the project's HTTP interfaces and of the platform services that it calls.
package api
