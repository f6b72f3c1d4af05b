package store

import (
	"errors"
	"fmt"

	"github.com/hashicorp/raft"
	"github.com/valyala/fasthttp"
)

// A write that fails was either not applied, and may be sent again, or it may have been applied.
// Sending the latter again without a name could apply it twice. The API tells them apart by status
// and by OutcomeHeader:
//
//	307, 503 not-applied  this call did not apply the write and will not
//	503 unknown           the write may have been applied; it has a name, under which it can be sent again
//	504 unknown           the write may have been applied; it has no name
//
// Releases before OutcomeHeader answer all of these but the first with 503 and without the header.

const (
	// OutcomeHeader tells whether a write that failed with 503 or 504 may have been applied.
	OutcomeHeader = "X-Store-Outcome"
	// OutcomeNotApplied means that this call did not apply the write and will not.
	OutcomeNotApplied = "not-applied"
	// OutcomeUnknown means that the write may have been applied, or may still be.
	OutcomeUnknown = "unknown"
)

// ErrUnknown means that a command may or may not have been applied.
var ErrUnknown = errors.New("the outcome is not known")

func isUnknown(err error) bool { return errors.Is(err, ErrUnknown) }

// isNotApplied reports whether a command failed without having been applied, as during an election.
func isNotApplied(err error) bool { return errors.Is(err, ErrNotLeader) }

// errHasName marks an unknown outcome of a write that has a name.
var errHasName = errors.New("it can be sent again under its name")

// withName marks the error of a write that has a name, if its outcome is unknown.
func withName(err error) error {
	if isUnknown(err) {
		return fmt.Errorf("%w; %w", err, errHasName)
	}
	return err
}

// notAppended are the errors with which raft refuses an entry before it is in the leader's log. After
// any other error the entry may be in a log, and may be committed by the next leader.
var notAppended = []error{raft.ErrNotLeader, raft.ErrEnqueueTimeout, raft.ErrLeadershipTransferInProgress}

// applyError converts an error of raft.Apply to ErrNotLeader or ErrUnknown.
func applyError(err error) error {
	for _, refusal := range notAppended {
		if errors.Is(err, refusal) {
			return fmt.Errorf("%w: %w", ErrNotLeader, err)
		}
	}
	return fmt.Errorf("%w: %w", ErrUnknown, err)
}

// setUnknown gives an answer the status and the header for an unknown outcome.
func setUnknown(resp *fasthttp.Response, err error) (status int) {
	resp.Header.Set(OutcomeHeader, OutcomeUnknown)
	if errors.Is(err, errHasName) {
		return fasthttp.StatusServiceUnavailable
	}
	return fasthttp.StatusGatewayTimeout
}

// leaderError converts a leader's answer other than 200 to ErrNotLeader, if the leader says that it
// did not carry out the call, and to ErrUnknown otherwise.
func leaderError(leader Peer, resp *fasthttp.Response) error {
	status := resp.StatusCode()
	if status == fasthttp.StatusTemporaryRedirect || notApplied(resp) {
		return fmt.Errorf("%w: %s no longer is", ErrNotLeader, leader.ID)
	}
	return fmt.Errorf("%w: the leader %s answered %d", ErrUnknown, leader.ID, status)
}

// notApplied reports whether a replica that can't take a write says that it did not apply it.
func notApplied(resp *fasthttp.Response) bool {
	return resp.StatusCode() == fasthttp.StatusServiceUnavailable && string(resp.Header.Peek(OutcomeHeader)) == OutcomeNotApplied
}
