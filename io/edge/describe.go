package edge

import (
	"fmt"
	"strings"

	"hickorybend/core/fleet"
	"hickorybend/core/rows"
)

// describeOperation formats an operation for the log.
func describeOperation(operation fleet.Operation) string {
	switch operation := operation.(type) {
	case fleet.Join:
		return fmt.Sprintf("join %s epoch %d members %s", operation.Replica, operation.Epoch, strings.Join(operation.Members, ","))
	case fleet.Open:
		return fmt.Sprintf("open %s epoch %d", operation.Replica, operation.Epoch)
	case fleet.Close:
		return fmt.Sprintf("close %s epoch %d", operation.Replica, operation.Epoch)
	case fleet.Leave:
		return fmt.Sprintf("leave %s epoch %d", operation.Replica, operation.Epoch)
	case fleet.Stage:
		return "stage " + operation.Model
	default:
		return "unknown"
	}
}

// describeReply formats a reply to a command for the log.
func describeReply(reply fleet.Reply) string {
	switch reply := reply.(type) {
	case fleet.Accepted:
		return "begun"
	case fleet.AlreadyApplied:
		return "already applied"
	case fleet.Rejected:
		return "refused"
	case fleet.WrongEndpoint:
		return "wrong endpoint"
	case fleet.Unknown:
		return "no answer: " + reply.Cause.Error()
	default:
		return "unknown"
	}
}

// describeOutcome formats the outcome of a transaction for the log.
func describeOutcome(outcome rows.Outcome) string {
	switch outcome := outcome.(type) {
	case rows.Committed:
		return "done"
	case rows.Rejected:
		return "refused"
	case rows.Unknown:
		return "unknown: " + outcome.Cause.Error()
	default:
		return "unknown"
	}
}
