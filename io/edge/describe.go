package edge

import (
	"fmt"
	"strings"

	"hickorybend/core/fleet"
	"hickorybend/core/rows"
)

func describe(order fleet.Order) string {
	switch order := order.(type) {
	case fleet.Join:
		return fmt.Sprintf("join %s epoch %d members %s", order.Replica, order.Epoch, strings.Join(order.Members, ","))
	case fleet.Open:
		return fmt.Sprintf("open %s epoch %d", order.Replica, order.Epoch)
	case fleet.Close:
		return fmt.Sprintf("close %s epoch %d", order.Replica, order.Epoch)
	case fleet.Leave:
		return fmt.Sprintf("leave %s epoch %d", order.Replica, order.Epoch)
	case fleet.Stage:
		return "stage " + order.Model
	default:
		return "unknown"
	}
}

func describeReply(reply fleet.Reply) string {
	switch reply := reply.(type) {
	case fleet.Begun:
		return "begun"
	case fleet.Held:
		return "held already"
	case fleet.Unfit:
		return "refused"
	case fleet.Gone:
		return "another endpoint"
	case fleet.Unheard:
		return "no answer: " + reply.Cause.Error()
	default:
		return "unknown"
	}
}

func describeOutcome(outcome rows.Outcome) string {
	switch outcome := outcome.(type) {
	case rows.Done:
		return "done"
	case rows.Refused:
		return "refused"
	case rows.Unknown:
		return "unknown: " + outcome.Cause.Error()
	default:
		return "unknown"
	}
}
