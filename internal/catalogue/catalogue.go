// Package catalogue holds the configuration in force on one node.
//
// Configuration is a log of change sets, numbered without gaps. A revision is
// the number of the newest change set applied. Each change set is one object in
// the platform's object API, created only if absent: that is the compare-and-swap
// which lets one of two racing operators win whole. A catalogue only moves
// forward, one revision at a time, so no restart, stale peer or stale replica of
// the store can turn it back.
package catalogue

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"swiftbank.dev/swiftbank/internal/declaration"
)

// Change is one accepted change set.
type Change struct {
	Revision uint64 `json:"revision"`
	// WriteID identifies the writer's attempt, to recognise a write whose answer was lost.
	WriteID  string    `json:"writeId"`
	Operator string    `json:"operator"`
	Message  string    `json:"message,omitempty"`
	At       time.Time `json:"at"`
	Edits    []Edit    `json:"edits"`
}

// Edit creates, replaces or deletes one declaration.
type Edit struct {
	Reference declaration.Reference `json:"reference"`
	// Expected is the revision at which the object was last changed, as the
	// operator saw it; zero when it did not exist.
	Expected uint64 `json:"expected"`
	// Object is nil for a deletion.
	Object *declaration.Object `json:"object,omitempty"`
}

// Stored is a declaration with the revision that last changed it.
type Stored struct {
	Object   declaration.Object
	Revision uint64
}

// Catalogue is the configuration in force. The zero value is not usable; see New.
type Catalogue struct {
	revision uint64
	objects  map[declaration.Reference]Stored
	byKey    map[string]string
	// instances finds an instance's name by its tenant and template.
	instances map[instanceKey]string
	// changes keeps every change set in order, to serve peers and history.
	changes []Change
}

type instanceKey struct{ tenant, template string }

// New returns an empty catalogue at revision zero.
func New() *Catalogue {
	return &Catalogue{
		objects:   map[declaration.Reference]Stored{},
		byKey:     map[string]string{},
		instances: map[instanceKey]string{},
	}
}

// Revision returns the revision in force.
func (c *Catalogue) Revision() uint64 { return c.revision }

// Apply moves to the next revision. Change sets at or below the current
// revision are ignored; a gap is an error and changes nothing.
func (c *Catalogue) Apply(change Change) error {
	if change.Revision <= c.revision {
		return nil
	}
	if change.Revision != c.revision+1 {
		return fmt.Errorf("change %d does not follow revision %d", change.Revision, c.revision)
	}
	for _, edit := range change.Edits {
		c.applyEdit(edit, change.Revision)
	}
	c.revision = change.Revision
	c.changes = append(c.changes, change)
	return nil
}

func (c *Catalogue) applyEdit(edit Edit, revision uint64) {
	if previous, found := c.objects[edit.Reference]; found {
		c.unindex(previous.Object)
	}
	if edit.Object == nil {
		delete(c.objects, edit.Reference)
		return
	}
	c.objects[edit.Reference] = Stored{Object: *edit.Object, Revision: revision}
	c.index(*edit.Object)
}

func (c *Catalogue) index(object declaration.Object) {
	if object.Tenant != nil {
		c.byKey[object.Tenant.KeyDigest] = object.Reference.Name
	}
	if object.Instance != nil {
		c.instances[instanceKey{object.Instance.Tenant, object.Instance.Template}] = object.Reference.Name
	}
}

func (c *Catalogue) unindex(object declaration.Object) {
	if object.Tenant != nil {
		delete(c.byKey, object.Tenant.KeyDigest)
	}
	if object.Instance != nil {
		delete(c.instances, instanceKey{object.Instance.Tenant, object.Instance.Template})
	}
}

// Since returns at most limit change sets after the given revision, in order.
func (c *Catalogue) Since(revision uint64, limit int) []Change {
	if revision >= c.revision {
		return nil
	}
	end := min(revision+uint64(limit), c.revision)
	return slices.Clone(c.changes[revision:end])
}

// Get returns one declaration.
func (c *Catalogue) Get(reference declaration.Reference) (Stored, bool) {
	stored, found := c.objects[reference]
	return stored, found
}

// All returns all declarations, ordered by reference.
func (c *Catalogue) All() []Stored {
	references := slices.SortedFunc(maps.Keys(c.objects), declaration.CompareReferences)
	list := make([]Stored, 0, len(references))
	for _, reference := range references {
		list = append(list, c.objects[reference])
	}
	return list
}

// TenantByKey returns the name of the tenant whose API key has the given digest.
func (c *Catalogue) TenantByKey(digest string) (string, bool) {
	name, found := c.byKey[digest]
	return name, found
}

// Tenant returns a tenant's parameters and the revision that last changed them.
func (c *Catalogue) Tenant(name string) (declaration.Tenant, uint64, bool) {
	stored, found := c.objects[declaration.Reference{Kind: declaration.KindTenant, Name: name}]
	if !found {
		return declaration.Tenant{}, 0, false
	}
	return *stored.Object.Tenant, stored.Revision, true
}

// Template returns a template and the revision that last changed it.
func (c *Catalogue) Template(name string) (declaration.Template, uint64, bool) {
	stored, found := c.objects[declaration.Reference{Kind: declaration.KindTemplate, Name: name}]
	if !found {
		return declaration.Template{}, 0, false
	}
	return *stored.Object.Template, stored.Revision, true
}

// InstanceFor returns the instance that lets a tenant open sessions of a template.
func (c *Catalogue) InstanceFor(tenant, template string) (declaration.Instance, bool) {
	name, found := c.instances[instanceKey{tenant, template}]
	if !found {
		return declaration.Instance{}, false
	}
	return *c.objects[declaration.Reference{Kind: declaration.KindInstance, Name: name}].Object.Instance, true
}

// ChangePrefix is the prefix of the keys of change sets in the object API.
const ChangePrefix = "changes/"

// ChangeKey returns the key of a revision's change set. Keys sort by revision.
func ChangeKey(revision uint64) string {
	return fmt.Sprintf("%s%012d", ChangePrefix, revision)
}
