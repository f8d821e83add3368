package ledger

// Estimated sizes in bytes: a fixed overhead per message, charge or id, to which the length of the
// text is added. The estimates bound the memory of messages queued for sending or processing.
const (
	messageBytes = 200
	chargeBytes  = 100
	idBytes      = 32
)

// Bytes estimates the memory that the request takes.
func (r Request) Bytes() int {
	size := messageBytes
	if r.Commit != nil {
		size += turnsBytes(r.Commit.Ancestors)
		if r.Commit.Turn != nil {
			size += r.Commit.Turn.Bytes()
		}
	}
	if r.Fetch != nil {
		size += len(r.Fetch.IDs) * idBytes
	}
	return size
}

// Bytes estimates the memory that the reply takes.
func (r Reply) Bytes() int {
	size := messageBytes + len(r.Charges)*chargeBytes + turnsBytes(r.Turns)
	if r.Reserve != nil {
		size += len(r.Reserve.History) + len(r.Reserve.Charges)*chargeBytes
	}
	if r.Inventory != nil {
		size += len(r.Inventory.IDs) * idBytes
	}
	if r.Quarantine != nil {
		for _, record := range r.Quarantine.Records {
			size += idBytes + len(record.Runs)*chargeBytes
		}
	}
	return size
}

// Bytes estimates the memory that the record takes.
func (r Record) Bytes() int {
	if r.Turn != nil {
		return messageBytes + r.Turn.Bytes()
	}
	return messageBytes
}

func turnsBytes(turns []Turn) int {
	size := 0
	for _, turn := range turns {
		size += turn.Bytes()
	}
	return size
}
