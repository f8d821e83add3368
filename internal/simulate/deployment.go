package simulate

import (
	"cmp"
	"fmt"
	"time"

	"swiftbank.dev/swiftbank/internal/declaration"
	"swiftbank.dev/swiftbank/internal/workload"
)

// deployment is the shape of a simulated system.
type deployment struct {
	name          string
	zones         []string
	nodes         int
	engines       int
	applications  int
	shardsPerCell int
	// zoneLatency and callerLatency are one-way times between zones and between a
	// caller and a node.
	zoneLatency   time.Duration
	callerLatency time.Duration
	// lossTolerance is how many nodes may lose their memory at once: one zone, and
	// in four zones one more machine.
	lossTolerance int
	profile       workload.Profile
	tenants       int
	budget        int64
}

// tenantBudget is the budget of a simulated tenant at the start, in tokens.
const tenantBudget = 400_000_000

// deploymentFor returns the deployment with the options' overrides.
func deploymentFor(options Options) (deployment, error) {
	var d deployment
	switch options.Deployment {
	case "riga":
		d = deployment{
			name: "riga", zones: []string{"centrs", "agenskalns", "purvciems", "sarkandaugava"},
			nodes: 8, engines: 10, applications: 10, shardsPerCell: 16,
			zoneLatency: 1500 * time.Microsecond, callerLatency: 3 * time.Millisecond,
			lossTolerance: 3, profile: workload.Riga(), tenants: 1,
		}
	case "luzon":
		d = deployment{
			name: "luzon", zones: []string{"pasig", "taguig", "clark"},
			nodes: 6, engines: 10, applications: 10, shardsPerCell: 16,
			zoneLatency: 500 * time.Microsecond, callerLatency: time.Millisecond,
			lossTolerance: 2, profile: workload.Luzon(), tenants: 1,
		}
	case "scale":
		d = deployment{
			name: "scale", zones: []string{"a", "b", "c"},
			nodes: 27, engines: 30, applications: 10, shardsPerCell: 16,
			zoneLatency: time.Millisecond, callerLatency: 2 * time.Millisecond,
			lossTolerance: 4, profile: workload.Riga(), tenants: 10,
		}
	default:
		return d, fmt.Errorf("unknown deployment %q; known are riga, luzon and scale", options.Deployment)
	}
	d.budget = cmp.Or(options.budget, tenantBudget)
	override(&d.nodes, options.Nodes)
	override(&d.engines, options.Engines)
	override(&d.tenants, options.Tenants)
	return d, nil
}

func override(value *int, with int) {
	if with > 0 {
		*value = with
	}
}

// tenantName returns the name of a deployment's tenant.
func (d *deployment) tenantName(number int) string {
	if number == 0 {
		return d.profile.Tenant
	}
	return fmt.Sprintf("%s-%d", d.profile.Tenant, number)
}

// declarations returns the configuration that is in force at the start.
func (d *deployment) declarations() map[declaration.Reference]declaration.Object {
	objects := map[declaration.Reference]declaration.Object{}
	add := func(object declaration.Object) { objects[object.Reference] = object }
	for _, template := range d.profile.Templates {
		add(declaration.Object{
			Reference: declaration.Reference{Kind: declaration.KindTemplate, Name: template.Template},
			Template: &declaration.Template{
				Service: engineService, Model: template.Model, Tools: d.profile.Tools,
				Applications: d.profile.Applications, MaxCompletionTokens: int64(template.Output.Max),
			},
		})
	}
	for number := range d.tenants {
		tenant := d.tenantName(number)
		add(d.tenantObject(tenant, d.budget, 0))
		for _, template := range d.profile.Templates {
			add(declaration.Object{
				Reference: declaration.Reference{Kind: declaration.KindInstance, Name: tenant + "-" + template.Template},
				Instance:  &declaration.Instance{Template: template.Template, Tenant: tenant},
			})
		}
	}
	return objects
}

func (d *deployment) tenantObject(name string, budget int64, priority int) declaration.Object {
	return declaration.Object{
		Reference: declaration.Reference{Kind: declaration.KindTenant, Name: name},
		Tenant: &declaration.Tenant{
			KeyDigest: name, BudgetTokens: budget, Priority: priority, PermittedTools: d.profile.Tools,
		},
	}
}
