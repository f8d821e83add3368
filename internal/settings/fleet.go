package settings

import (
	"fmt"
	"os"
	"time"

	"swiftbank.dev/swiftbank/internal/place"
	"swiftbank.dev/swiftbank/internal/quota"
)

// Member holds the settings common to gateways and replicas. docs/OPERATIONS.md explains each
// key.
type Member struct {
	Node string `koanf:"node" validate:"required"`
	Zone string `koanf:"zone" validate:"required"`
	// Zones maps each zone of the deployment to its region. It is empty if there is only one
	// region.
	Zones map[string]string `koanf:"zones"`
	// PeerAddress is the address on which this process listens for other processes of the
	// fleet.
	PeerAddress string `koanf:"peerAddress" validate:"required,hostname_port"`
	// AdvertisedAddress is the address at which the others reach it, if that differs from
	// PeerAddress, for example behind a proxy or NAT.
	AdvertisedAddress string `koanf:"advertisedAddress" validate:"omitempty,hostname_port"`
	// MetricsAddress is the address that serves the metrics.
	MetricsAddress string `koanf:"metricsAddress" validate:"required,hostname_port"`
	// StoreAddress is the address of the platform's store.
	StoreAddress string `koanf:"storeAddress" validate:"required,hostname_port"`
	// MemoryMB is the memory of the machine. The process aims to use well below it.
	MemoryMB int `koanf:"memoryMB" validate:"gt=0"`
	// Grace bounds the duration of a planned shutdown.
	Grace time.Duration `koanf:"grace" validate:"gt=0"`
	// TolerateMachines is the number of machines with disks that may fail at the same time.
	TolerateMachines int `koanf:"tolerateMachines" validate:"gte=0,lte=3"`
	// TolerateZones and TolerateRegions are the numbers of zones and regions that may fail at
	// the same time; 0 means that the operator does not require it.
	TolerateZones   int `koanf:"tolerateZones" validate:"gte=0,lte=3"`
	TolerateRegions int `koanf:"tolerateRegions" validate:"gte=0,lte=3"`
	// EvacuationLimit is the time after an operator's request within which all processes must
	// stop sending to the instances of an evacuated zone. 0 means that the operator never
	// evacuates zones.
	EvacuationLimit time.Duration `koanf:"evacuationLimit" validate:"gte=0"`
	LogLevel        string        `koanf:"logLevel" validate:"oneof=debug info warn error"`
}

// Places returns the map of zones to regions.
func (m Member) Places() place.Map { return place.Map(m.Zones) }

// CellPlaces returns the map that restricts each cell of replicas to one region. It returns nil
// if the loss of a whole region must be tolerated: the voters of a cell are then spread over
// several regions.
func (m Member) CellPlaces() place.Map {
	if m.TolerateRegions > 0 {
		return nil
	}
	return m.Places()
}

// Gateway holds the settings of a gateway.
type Gateway struct {
	Member `koanf:",squash"`
	// CallerAddress is the address that serves callers; ReadyAddress serves the readiness check.
	CallerAddress string `koanf:"callerAddress" validate:"required,hostname_port"`
	ReadyAddress  string `koanf:"readyAddress" validate:"required,hostname_port"`
	// Seeds are copy addresses of replicas. The gateway follows them until it knows the current
	// replicas.
	Seeds []string `koanf:"seeds" validate:"dive,hostname_port"`
	// FirstStart is set when the whole fleet starts for the first time: a gateway then waits
	// longer for its seeds before it reads the store itself.
	FirstStart bool `koanf:"firstStart"`
	// ColdOverage is the factor, and ColdSlack the number of requests, by which the requests
	// to a cold instance in one second may exceed the limit of its service.
	ColdOverage float64 `koanf:"coldOverage" validate:"gte=1"`
	ColdSlack   float64 `koanf:"coldSlack" validate:"gte=0"`
	// EndedInstances is the number of instances that may end under one request before it is no longer sent;
	// 0 means no bound.
	EndedInstances int `koanf:"endedInstances" validate:"gte=0,lte=16"`
	// RenewalInterval is how often instances renew their entries in the store.
	RenewalInterval time.Duration `koanf:"renewalInterval" validate:"gt=0"`
	// DrainTime is how long an instance serves on, at least, after it announced that it leaves or its entry was
	// removed; 0 means that this is unknown.
	DrainTime   time.Duration `koanf:"drainTime" validate:"gte=0"`
	LoadControl `koanf:",squash"`
}

// HeldBytes returns the number of bytes that may be buffered for callers.
func (g Gateway) HeldBytes() int64 {
	return int64(g.HeldShare * float64(int64(g.MemoryMB)<<20))
}

// Replica holds the settings of a replica.
type Replica struct {
	Member `koanf:",squash"`
	// DataFolder is the directory for all persistent data.
	DataFolder string `koanf:"dataFolder" validate:"required"`
	DiskMB     int    `koanf:"diskMB" validate:"gt=0"`
	// CopyAddress is the address at which other processes follow this replica's copy of the
	// store; "" disables it.
	CopyAddress string `koanf:"copyAddress" validate:"omitempty,hostname_port"`
	// QuotaWindow is the window in which the requests of a tenant are counted. QuotaOverage is
	// the fraction, and QuotaSlack the number of requests, by which the count may exceed the
	// limit.
	QuotaWindow  time.Duration `koanf:"quotaWindow" validate:"gt=0"`
	QuotaOverage float64       `koanf:"quotaOverage" validate:"gte=0,lte=1"`
	QuotaSlack   float64       `koanf:"quotaSlack" validate:"gte=0"`
}

// Quota returns the policy for the accuracy of tenant limits.
func (r Replica) Quota() quota.Policy {
	return quota.Policy{Window: r.QuotaWindow, Overage: r.QuotaOverage, Slack: r.QuotaSlack}
}

// Advertised returns the address that this process registers for the others.
func (m Member) Advertised() string {
	if m.AdvertisedAddress != "" {
		return m.AdvertisedAddress
	}
	return m.PeerAddress
}

// defaultRenewalInterval is the default of RenewalInterval.
const defaultRenewalInterval = time.Second

func defaultMember() Member {
	return Member{MemoryMB: 256, Grace: 8 * time.Second, TolerateMachines: 1, LogLevel: "info"}
}

// LoadGateway reads the settings of a gateway.
func LoadGateway(path string, overrides []string) (Gateway, error) {
	return loadFile(path, overrides, Gateway{Member: defaultMember(), ColdOverage: 1, RenewalInterval: defaultRenewalInterval, LoadControl: defaultLoadControl()})
}

// LoadReplica reads the settings of a replica.
func LoadReplica(path string, overrides []string) (Replica, error) {
	limits := quota.DefaultPolicy
	return loadFile(path, overrides, Replica{
		Member: defaultMember(), QuotaWindow: limits.Window, QuotaOverage: limits.Overage, QuotaSlack: limits.Slack,
	})
}

// Check returns an error that describes the first invalid setting.
func (g Gateway) Check() error { return checkFields(g) }

// Check returns an error that describes the first invalid setting.
func (r Replica) Check() error {
	if err := checkFields(r); err != nil {
		return err
	}
	info, err := os.Stat(r.DataFolder)
	if err != nil || !info.IsDir() {
		return fmt.Errorf("dataFolder: %q is not a directory; write a directory on the machine's disk", r.DataFolder)
	}
	return nil
}
