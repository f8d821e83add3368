// Package declaration defines what operators write: session templates, tenants
// with their parameters, and instances that join the two. It reads them from
// YAML files and reports every fault with file, line and field.
package declaration

import (
	"cmp"
	"time"

	"swiftbank.dev/swiftbank/internal/shard"
)

// Kind names a kind of declaration.
type Kind string

// The kinds of declaration.
const (
	KindTemplate Kind = "Template"
	KindTenant   Kind = "Tenant"
	KindInstance Kind = "Instance"
)

// Reference names one declaration.
type Reference struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// String returns the reference as "Kind/name".
func (r Reference) String() string { return string(r.Kind) + "/" + r.Name }

// CompareReferences orders references by kind, then name.
func CompareReferences(a, b Reference) int {
	if order := cmp.Compare(a.Kind, b.Kind); order != 0 {
		return order
	}
	return cmp.Compare(a.Name, b.Name)
}

// Limits bound each session. Zero means that no limit is set here.
type Limits struct {
	Turns    int64         `yaml:"turns" json:"turns,omitempty" validate:"gte=0"`
	Tokens   int64         `yaml:"tokens" json:"tokens,omitempty" validate:"gte=0"`
	WallTime time.Duration `yaml:"wallTime" json:"wallTime,omitempty" validate:"gte=0"`
}

// Template describes a kind of session.
type Template struct {
	// Service is the engine service that the session's model calls go to.
	Service string `yaml:"service" json:"service" validate:"required"`
	// Model is the model used when a call names none.
	Model string `yaml:"model" json:"model" validate:"required"`
	// Tools and Applications are the services that the session may call.
	Tools        []string `yaml:"tools" json:"tools,omitempty" validate:"dive,required"`
	Applications []string `yaml:"applications" json:"applications,omitempty" validate:"dive,required"`
	// MaxCompletionTokens bounds each answer, and so each reservation.
	MaxCompletionTokens int64  `yaml:"maxCompletionTokens" json:"maxCompletionTokens" validate:"gt=0"`
	Limits              Limits `yaml:"limits" json:"limits"`
}

// Tenant describes one organisation.
type Tenant struct {
	// KeyDigest is the SHA-256 of the tenant's API key, in hexadecimal.
	KeyDigest string `yaml:"keyDigest" json:"keyDigest" validate:"required,len=64,hexadecimal"`
	// BudgetTokens is how many tokens the tenant may use in all.
	BudgetTokens int64 `yaml:"budgetTokens" json:"budgetTokens" validate:"gte=0"`
	// Priority puts the tenant's waiting calls before those of lower priority.
	Priority        int      `yaml:"priority" json:"priority" validate:"gte=0,lte=9"`
	PermittedModels []string `yaml:"permittedModels" json:"permittedModels,omitempty" validate:"dive,required"`
	PermittedTools  []string `yaml:"permittedTools" json:"permittedTools,omitempty" validate:"dive,required"`
	Limits          Limits   `yaml:"limits" json:"limits"`
}

// Instance lets a tenant open sessions of a template.
type Instance struct {
	Template string `yaml:"template" json:"template" validate:"required"`
	Tenant   string `yaml:"tenant" json:"tenant" validate:"required"`
	// Limits override those of the tenant and the template where set.
	Limits Limits `yaml:"limits" json:"limits"`
}

// Object is one declaration. Exactly one of the pointers is set.
type Object struct {
	Reference Reference `json:"reference"`
	Template  *Template `json:"template,omitempty"`
	Tenant    *Tenant   `json:"tenant,omitempty"`
	Instance  *Instance `json:"instance,omitempty"`
}

// MergeLimits joins limits from the most specific to the most general: the first
// that sets a value wins.
func MergeLimits(levels ...Limits) shard.Limits {
	var joined shard.Limits
	for _, level := range levels {
		joined.Turns = cmp.Or(joined.Turns, level.Turns)
		joined.Tokens = cmp.Or(joined.Tokens, level.Tokens)
		joined.WallTime = cmp.Or(joined.WallTime, level.WallTime)
	}
	return joined
}
