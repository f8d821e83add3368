package change

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"swiftbank.dev/swiftbank/internal/catalogue"
)

// changesPerRead bounds one read of change sets.
const changesPerRead = 256

// Read reads change sets after a revision and waits for one if there is none.
func Read(ctx context.Context, client Store, after uint64, wait time.Duration) ([]catalogue.Change, error) {
	objects, err := client.Watch(ctx, catalogue.ChangePrefix, catalogue.ChangeKey(after), changesPerRead, wait)
	if err != nil {
		return nil, err
	}
	changes := make([]catalogue.Change, 0, len(objects))
	for _, object := range objects {
		var change catalogue.Change
		if err := json.Unmarshal(object.Value, &change); err != nil {
			return nil, fmt.Errorf("change: %s: %w", object.Key, err)
		}
		changes = append(changes, change)
	}
	return changes, nil
}
