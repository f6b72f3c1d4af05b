package transient

import (
	"time"

	"github.com/cenkalti/backoff/v5"
)

// NewBackoff returns the pauses between attempts: about first, then about half as long again each time,
// at most about the longest. Each is drawn at random within half of its length, so that many processes do
// not retry together.
func NewBackoff(first, longest time.Duration) *backoff.ExponentialBackOff {
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval, pauses.MaxInterval = first, longest
	return pauses
}
