package feed

import (
	"slices"

	"swiftbank.dev/swiftbank/internal/backend"
	"swiftbank.dev/swiftbank/internal/registry"
	"swiftbank.dev/swiftbank/internal/route"
	"swiftbank.dev/swiftbank/internal/tenant"
)

// Kind is a kind of record.
type Kind uint8

// The kinds of records.
const (
	// Configurations holds one record, the configuration in force.
	Configurations Kind = iota
	// Instances holds the entries that back ends register.
	Instances
	// Members holds the objects that the fleet itself writes: cells of replicas and processes.
	Members
	// Retirements holds the operator's requests to drain machines.
	Retirements
	// Evacuations holds the operator's requests to send no further work to the instances of a
	// zone. It is read only in deployments whose operator makes such requests.
	Evacuations
	kindCount
)

// Kinds lists all kinds in the order in which changes are delivered. Evacuations come before
// instances, so that a starting process never places work on an evacuated zone.
func Kinds() []Kind { return []Kind{Configurations, Evacuations, Instances, Members, Retirements} }

// kindsToRead lists the kinds that a process reads from the store and that its data must
// contain to be complete.
func kindsToRead(evacuations bool) []Kind {
	if evacuations {
		return Kinds()
	}
	return slices.DeleteFunc(Kinds(), func(kind Kind) bool { return kind == Evacuations })
}

// String returns the name used in logs.
func (k Kind) String() string {
	names := [kindCount]string{"configuration", "instances", "members", "retirements", "evacuations"}
	if k >= kindCount {
		return "unknown"
	}
	return names[k]
}

// Record is one object of the store, converted to the types of this program. Unless Deleted is
// set, exactly the field of its kind is set.
type Record struct {
	Name string
	// Revision is the store's revision of the object's last change.
	Revision uint64
	Deleted  bool

	Configuration *Configuration
	Instance      *backend.Instance
	Member        []byte
	Retirement    RetirementState
	// Evacuated is set on the record of a zone that must get no further work.
	Evacuated bool
}

// valid reports whether the record is a deletion or the field of the kind is set.
func (r Record) valid(kind Kind) bool {
	if r.Deleted {
		return true
	}
	switch kind {
	case Configurations:
		return r.Configuration != nil
	case Instances:
		return r.Instance != nil
	case Members:
		return r.Member != nil
	case Retirements:
		return r.Retirement != NotRetiring
	case Evacuations:
		return r.Evacuated
	default:
		return false
	}
}

// RetirementState is the progress of draining a machine.
type RetirementState uint8

// The states of a retirement, in their order.
const (
	NotRetiring RetirementState = iota
	// RetirementRequested means that the operator requested it and the machine has not
	// confirmed yet.
	RetirementRequested
	// RetirementRunning means that the machine is draining.
	RetirementRunning
	// RetirementCompleted means that no data on the machine is needed any more.
	RetirementCompleted
)

// Configuration is the serialized form of a route.Table, as stored and sent.
type Configuration struct {
	Version  uint64
	Routes   []*route.Route
	Services []route.Service
	Limits   route.Limits
	// HasTenants distinguishes a configuration without a list of tenants from an empty list.
	HasTenants bool
	Tenants    []tenant.Tenant
}

// ConfigurationOf returns the serialized form of a table.
func ConfigurationOf(table *route.Table) *Configuration {
	configuration := &Configuration{
		Version: table.Version, Routes: table.Routes(), Limits: table.Limits,
		HasTenants: table.Tenants != nil, Tenants: table.Tenants.Tenants(),
	}
	for _, service := range table.Services {
		configuration.Services = append(configuration.Services, service)
	}
	return configuration
}

// Table returns the route table of the configuration.
func (c *Configuration) Table() *route.Table {
	table := route.NewTable(c.Version, c.Routes, c.Services, c.Limits)
	if c.HasTenants {
		table.Tenants = tenant.NewIndex(c.Tenants)
	}
	return table
}

// object returns the record of a member as a registry object.
func (r Record) object() registry.Object {
	return registry.Object{Name: r.Name, Revision: r.Revision, Value: r.Member}
}

// Batch holds changes of one kind.
type Batch struct {
	Kind Kind
	// Snapshot is set when Records are the complete contents at revision At. Otherwise they
	// are the changes after revision After up to At, each record at its last change.
	Snapshot  bool
	After, At uint64
	// Exact is set when records created and deleted between After and At may be missing. The
	// batch then applies only to a process whose position is exactly After, and not to one
	// that received more changes after it sent the poll.
	Exact   bool
	Records []Record
	// HasVersions is set if the records of instances contain their software versions. Processes of
	// earlier builds, and copies that they wrote, do not know them.
	HasVersions bool
}

// Position is the revision up to which a process knows all changes of a kind.
type Position struct {
	// Known is false until the kind has been listed for the first time.
	Known bool
	At    uint64
}

// Positions holds the position of each kind.
type Positions [kindCount]Position

// Complete reports whether all the given kinds are known.
func (p Positions) Complete(kinds []Kind) bool {
	for _, kind := range kinds {
		if !p[kind].Known {
			return false
		}
	}
	return true
}
