package entrynode

// GracePeriodError reports a request that was still in progress when the grace period of the node was nearly over.
type GracePeriodError struct{}

func (GracePeriodError) Error() string {
	return "the node is stopping and its grace period is nearly over"
}
