package settings

import (
	"fmt"
	"os"
	"time"

	"swiftbank.dev/swiftbank/internal/place"
	"swiftbank.dev/swiftbank/internal/quota"
)

// Member holds what gateways and replicas both need. docs/OPERATIONS.md explains
// each key.
type Member struct {
	Node string `koanf:"node" validate:"required"`
	Zone string `koanf:"zone" validate:"required"`
	// Zones maps each zone of the deployment to its region; empty where there is one region.
	Zones map[string]string `koanf:"zones"`
	// PeerAddress is where this process listens for the product's other processes.
	PeerAddress string `koanf:"peerAddress" validate:"required,hostname_port"`
	// AdvertisedAddress is where the others reach it, when that is another address, as
	// behind a proxy or a translation of addresses.
	AdvertisedAddress string `koanf:"advertisedAddress" validate:"omitempty,hostname_port"`
	// MetricsAddress serves the metrics.
	MetricsAddress string `koanf:"metricsAddress" validate:"required,hostname_port"`
	// StoreAddress is the platform's store.
	StoreAddress string `koanf:"storeAddress" validate:"required,hostname_port"`
	// MemoryMB is what the machine has; the process aims for well below it.
	MemoryMB int `koanf:"memoryMB" validate:"gt=0"`
	// Grace is how long a planned stop may take.
	Grace time.Duration `koanf:"grace" validate:"gt=0"`
	// TolerateMachines is how many machines with disks may be lost at once.
	TolerateMachines int `koanf:"tolerateMachines" validate:"gte=0,lte=3"`
	// TolerateZones and TolerateRegions are how many zones or regions may be lost at once, as
	// far as the operator asks for that.
	TolerateZones   int `koanf:"tolerateZones" validate:"gte=0,lte=3"`
	TolerateRegions int `koanf:"tolerateRegions" validate:"gte=0,lte=3"`
	// EvacuationLimit is how soon after an operator's request no process may send to the
	// instances of an evacuated zone; 0 where the operator makes no such requests.
	EvacuationLimit time.Duration `koanf:"evacuationLimit" validate:"gte=0"`
	LogLevel        string        `koanf:"logLevel" validate:"oneof=debug info warn error"`
}

// Places returns which regions the zones belong to.
func (m Member) Places() place.Map { return place.Map(m.Zones) }

// CellPlaces returns the places that bind each cell of replicas to one region, or nil where
// the loss of a whole region is to be borne: then a cell's voters stand in several.
func (m Member) CellPlaces() place.Map {
	if m.TolerateRegions > 0 {
		return nil
	}
	return m.Places()
}

// Gateway holds the settings of a gateway.
type Gateway struct {
	Member `koanf:",squash"`
	// CallerAddress is where callers reach it; ReadyAddress says whether new ones may come.
	CallerAddress string `koanf:"callerAddress" validate:"required,hostname_port"`
	ReadyAddress  string `koanf:"readyAddress" validate:"required,hostname_port"`
	// Seeds are replicas' copy addresses, from which it learns what the store says before it
	// knows the replicas.
	Seeds []string `koanf:"seeds" validate:"dive,hostname_port"`
	// FirstStart says that the whole fleet starts for the first time: then a gateway waits
	// longer for its seeds before it reads the store itself.
	FirstStart bool `koanf:"firstStart"`
	// ColdOverage is the factor, and ColdSlack the number of requests, by which a cold
	// instance may get more in a second than its service's limit.
	ColdOverage float64 `koanf:"coldOverage" validate:"gte=1"`
	ColdSlack   float64 `koanf:"coldSlack" validate:"gte=0"`
	LoadControl `koanf:",squash"`
}

// HeldBytes returns how many bytes may be held for callers.
func (g Gateway) HeldBytes() int64 {
	return int64(g.HeldShare * float64(int64(g.MemoryMB)<<20))
}

// Replica holds the settings of a replica.
type Replica struct {
	Member `koanf:",squash"`
	// DataFolder is the only place that lasts.
	DataFolder string `koanf:"dataFolder" validate:"required"`
	DiskMB     int    `koanf:"diskMB" validate:"gt=0"`
	// CopyAddress is where it hands on what the store says to other processes; "" does not.
	CopyAddress string `koanf:"copyAddress" validate:"omitempty,hostname_port"`
	// QuotaWindow is the span in which the requests of a tenant are counted, QuotaOverage the
	// share and QuotaSlack the number of requests by which a count may exceed its limit.
	QuotaWindow  time.Duration `koanf:"quotaWindow" validate:"gt=0"`
	QuotaOverage float64       `koanf:"quotaOverage" validate:"gte=0,lte=1"`
	QuotaSlack   float64       `koanf:"quotaSlack" validate:"gte=0"`
}

// Quota returns how exactly the limits of tenants must hold.
func (r Replica) Quota() quota.Policy {
	return quota.Policy{Window: r.QuotaWindow, Overage: r.QuotaOverage, Slack: r.QuotaSlack}
}

// Advertised returns the address that the other processes are told.
func (m Member) Advertised() string {
	if m.AdvertisedAddress != "" {
		return m.AdvertisedAddress
	}
	return m.PeerAddress
}

func defaultMember() Member {
	return Member{MemoryMB: 256, Grace: 8 * time.Second, TolerateMachines: 1, LogLevel: "info"}
}

// LoadGateway reads the settings of a gateway.
func LoadGateway(path string, overrides []string) (Gateway, error) {
	return loadFile(path, overrides, Gateway{Member: defaultMember(), ColdOverage: 1, LoadControl: defaultLoadControl()})
}

// LoadReplica reads the settings of a replica.
func LoadReplica(path string, overrides []string) (Replica, error) {
	limits := quota.DefaultPolicy
	return loadFile(path, overrides, Replica{
		Member: defaultMember(), QuotaWindow: limits.Window, QuotaOverage: limits.Overage, QuotaSlack: limits.Slack,
	})
}

// Check reports the first thing that is wrong with the settings.
func (g Gateway) Check() error { return checkFields(g) }

// Check reports the first thing that is wrong with the settings.
func (r Replica) Check() error {
	if err := checkFields(r); err != nil {
		return err
	}
	info, err := os.Stat(r.DataFolder)
	if err != nil || !info.IsDir() {
		return fmt.Errorf("dataFolder: %q is no folder; write the folder of the machine's disk", r.DataFolder)
	}
	return nil
}
