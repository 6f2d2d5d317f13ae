package table

import "egretline.example/egretline/internal/decide/bytebudget"

// UnknownBodyBytes is what a request body of unknown length counts for at a backend server.
const UnknownBodyBytes = 1 << 20

// Transfers holds the bytes that the node has received and not yet passed on.
type Transfers struct {
	Budget bytebudget.Budget
	// NextID is the ID of the next transfer.
	NextID uint64
	// Waiting holds the slowed transfers by ID.
	Waiting map[uint64]*Transfer
}

// Transfer is the state of the bytes that the node holds for one request.
type Transfer struct {
	ID   uint64
	Rank int
	// Ranks is the number of ranks of the configuration that the request was matched with.
	Ranks int
	// Held is the number of bytes held, by direction.
	Held [2]int64
	// Granted receives a value when the bytes that a slowed transfer waits for have been taken.
	Granted chan struct{}
	// Ended reports whether the request has ended and the transfer may hold nothing.
	Ended bool
}

func newTransfers() Transfers { return Transfers{Waiting: map[uint64]*Transfer{}} }
