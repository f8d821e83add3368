package feed

import (
	"slices"

	"swiftbank.dev/swiftbank/internal/backend"
	"swiftbank.dev/swiftbank/internal/registry"
	"swiftbank.dev/swiftbank/internal/route"
	"swiftbank.dev/swiftbank/internal/tenant"
)

// Kind is a kind of records.
type Kind uint8

// The kinds of records.
const (
	// Configurations holds one record, the configuration in force.
	Configurations Kind = iota
	// Instances holds the back ends' own entries.
	Instances
	// Members holds the product's own objects: cells of replicas and processes.
	Members
	// Retirements holds the operator's requests to empty machines.
	Retirements
	// Evacuations holds the operator's requests to send nothing further to the instances of a
	// zone. It is read only where the operator makes such requests.
	Evacuations
	kindCount
)

// Kinds lists all kinds in the order in which changes are handed over. Evacuations come
// before instances, so that a process that starts never places work on an evacuated zone.
func Kinds() []Kind { return []Kind{Configurations, Evacuations, Instances, Members, Retirements} }

// kindsRead lists the kinds that are read from the store and waited for.
func kindsRead(evacuations bool) []Kind {
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

// Record is one object of the store in the product's terms. Unless it is deleted, the
// field of its kind is set and no other.
type Record struct {
	Name string
	// Revision is the store's revision of the object's last change.
	Revision uint64
	Deleted  bool

	Configuration *Configuration
	Instance      *backend.Instance
	Member        []byte
	Retirement    RetirementState
	// Evacuated is set on the record of a zone that is to get nothing further.
	Evacuated bool
}

// valid reports whether the field of the kind is set.
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

// RetirementState says how far the emptying of a machine is.
type RetirementState uint8

// The states of a retirement, in their order.
const (
	NotRetiring RetirementState = iota
	// RetirementRequested means that the operator asked and the machine did not confirm.
	RetirementRequested
	// RetirementRunning means that the machine is being emptied.
	RetirementRunning
	// RetirementCompleted means that it holds nothing that is needed.
	RetirementCompleted
)

// Configuration is a route.Table in the form in which it is stored and sent.
type Configuration struct {
	Version  uint64
	Routes   []*route.Route
	Services []route.Service
	Limits   route.Limits
	// Tenants and their keys; HasTenants tells none from an operator who names none.
	HasTenants bool
	Tenants    []tenant.Tenant
}

// ConfigurationOf returns a table in that form.
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

// Table returns the configuration as the table that requests are matched with.
func (c *Configuration) Table() *route.Table {
	table := route.NewTable(c.Version, c.Routes, c.Services, c.Limits)
	if c.HasTenants {
		table.Tenants = tenant.NewIndex(c.Tenants)
	}
	return table
}

// object returns a member's record in the registry's form.
func (r Record) object() registry.Object {
	return registry.Object{Name: r.Name, Revision: r.Revision, Value: r.Member}
}

// Batch holds changes of one kind.
type Batch struct {
	Kind Kind
	// Snapshot says that Records are all there are at revision At. Otherwise they are the
	// changes after revision After up to At, each record at its last change.
	Snapshot  bool
	After, At uint64
	// Exact says that what came and went between After and At may be missing: the batch holds
	// for a process that is at After, and not for one that has learned more since it asked.
	Exact   bool
	Records []Record
}

// Position says up to which revision a process knows all changes of a kind.
type Position struct {
	// Known is false while the kind was never listed.
	Known bool
	At    uint64
}

// Positions holds the position of each kind.
type Positions [kindCount]Position

// Complete reports whether all the given kinds were listed.
func (p Positions) Complete(kinds []Kind) bool {
	for _, kind := range kinds {
		if !p[kind].Known {
			return false
		}
	}
	return true
}
