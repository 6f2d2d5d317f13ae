// Package operatorcmd serves the requests of operators that change state.
package operatorcmd
