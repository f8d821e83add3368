package ledger

// Estimated sizes in bytes: a fixed part per message, charge or id, plus the text. The estimates
// bound the memory of messages that wait to be sent or handled.
const (
	messageBytes = 200
	chargeBytes  = 100
	idBytes      = 32
)

// Bytes is about what the request holds.
func (r Request) Bytes() int {
	size := messageBytes
	if r.Commit != nil {
		size += bytesOfTurns(r.Commit.Ancestors)
		if r.Commit.Turn != nil {
			size += r.Commit.Turn.Bytes()
		}
	}
	if r.Fetch != nil {
		size += len(r.Fetch.IDs) * idBytes
	}
	return size
}

// Bytes is about what the reply holds.
func (r Reply) Bytes() int {
	size := messageBytes + len(r.Charges)*chargeBytes + bytesOfTurns(r.Turns)
	if r.Reserve != nil {
		size += len(r.Reserve.History) + len(r.Reserve.Charges)*chargeBytes
	}
	if r.Inventory != nil {
		size += len(r.Inventory.IDs) * idBytes
	}
	return size
}

// Bytes is about what the record holds.
func (r Record) Bytes() int {
	if r.Turn != nil {
		return messageBytes + r.Turn.Bytes()
	}
	return messageBytes
}

func bytesOfTurns(turns []Turn) int {
	size := 0
	for _, turn := range turns {
		size += turn.Bytes()
	}
	return size
}
