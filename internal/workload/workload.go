// Package workload draws agent programs for the simulator. The shapes have heavy
// tails: most programs are short, a few are very long.
package workload

import (
	"math"
	"math/rand/v2"
	"time"

	"swiftbank.dev/swiftbank/internal/shard"
)

// Step is one step of a program.
type Step struct {
	// Pause is spent before the step outside the product, as by a person or a
	// tool that the caller runs itself.
	Pause time.Duration
	Kind  shard.CallKind
	// Service is the application or tool.
	Service      string
	Unrepeatable bool
	// NewTokens is what the step adds to the prompt, OutputTokens what is generated.
	NewTokens    int64
	OutputTokens int64
	// Branches are sub-agents that run at the same time; the step ends with the last.
	Branches []Program
}

// Program is one drawn program.
type Program struct {
	Template string
	Model    string
	// SystemTokens is the length of the template's own prompt, which all its
	// programs share.
	SystemTokens int64
	Steps        []Step
}

// Profile describes the programs of one user. Lengths are in tokens; each pair
// is the median and the sigma of a log-normal distribution.
type Profile struct {
	Tenant       string
	Templates    []TemplateProfile
	Applications []string
	Tools        []string
}

// TemplateProfile describes the programs of one template.
type TemplateProfile struct {
	Template string
	Model    string
	// Weight is the share of the programs drawn.
	Weight       float64
	SystemTokens int64
	Turns        LogNormal
	MaxTurns     int
	// FirstTokens is the first message: for LGBO a participant's offer history.
	FirstTokens LogNormal
	TurnTokens  LogNormal
	Output      LogNormal
	PauseSecs   LogNormal
	// ToolShare, ChargeShare and BranchShare are the chances that a turn is
	// followed by a tool call, an unrepeatable application call, or sub-agents.
	ToolShare   float64
	ChargeShare float64
	BranchShare float64
	MaxBranches int
}

// LogNormal is a log-normal distribution with a bound.
type LogNormal struct {
	Median float64
	Sigma  float64
	Max    float64
}

func (l LogNormal) draw(random *rand.Rand) float64 {
	return math.Min(l.Max, l.Median*math.Exp(l.Sigma*random.NormFloat64()))
}

func (l LogNormal) tokens(random *rand.Rand) int64 {
	return max(1, int64(l.draw(random)))
}

// Riga is the Cooperative's workload: short conversations of riders with pauses
// for reading, charges, and dispatcher programs that fan out.
func Riga() Profile {
	return Profile{
		Tenant: "coop-riga", Applications: []string{"hire-billing"}, Tools: []string{"dock-lookup"},
		Templates: []TemplateProfile{
			{
				Template: "rider-assistant", Model: "assistant-8b", Weight: 0.8, SystemTokens: 1500,
				Turns: LogNormal{4, 0.7, 40}, MaxTurns: 40, FirstTokens: LogNormal{120, 0.8, 2000},
				TurnTokens: LogNormal{80, 0.8, 2000}, Output: LogNormal{90, 0.7, 512},
				PauseSecs: LogNormal{2, 1.2, 60}, ToolShare: 0.4, ChargeShare: 0.2,
			},
			{
				Template: "dock-dispatcher", Model: "assistant-8b", Weight: 0.2, SystemTokens: 3000,
				Turns: LogNormal{8, 0.8, 80}, MaxTurns: 80, FirstTokens: LogNormal{2500, 1.0, 40000},
				TurnTokens: LogNormal{400, 1.0, 8000}, Output: LogNormal{160, 0.8, 1024},
				PauseSecs: LogNormal{1, 1.2, 30}, ToolShare: 0.6, ChargeShare: 0.1, BranchShare: 0.15, MaxBranches: 4,
			},
		},
	}
}

// Luzon is LGBO's workload: long offer histories that are read again on every
// turn, with tool pauses between.
func Luzon() Profile {
	return Profile{
		Tenant: "lgbo", Applications: []string{"settlement-notices"}, Tools: []string{"offer-history"},
		Templates: []TemplateProfile{
			{
				Template: "ruling-drafter", Model: "assistant-8b", Weight: 0.7, SystemTokens: 4000,
				Turns: LogNormal{6, 0.7, 80}, MaxTurns: 80, FirstTokens: LogNormal{12000, 0.9, 200000},
				TurnTokens: LogNormal{600, 1.0, 20000}, Output: LogNormal{180, 0.7, 1024},
				PauseSecs: LogNormal{4, 1.2, 120}, ToolShare: 0.6, ChargeShare: 0.15, BranchShare: 0.05, MaxBranches: 3,
			},
			{
				Template: "interval-guide", Model: "assistant-8b", Weight: 0.3, SystemTokens: 2500,
				Turns: LogNormal{8, 0.8, 80}, MaxTurns: 80, FirstTokens: LogNormal{4000, 1.0, 60000},
				TurnTokens: LogNormal{300, 1.0, 8000}, Output: LogNormal{140, 0.7, 1024},
				PauseSecs: LogNormal{6, 1.2, 120}, ToolShare: 0.4, ChargeShare: 0.1,
			},
		},
	}
}

// Draw draws one program.
func (p *Profile) Draw(random *rand.Rand) Program {
	chosen := random.Float64()
	for _, template := range p.Templates {
		chosen -= template.Weight
		if chosen < 0 {
			return p.drawTemplate(random, template, true)
		}
	}
	return p.drawTemplate(random, p.Templates[len(p.Templates)-1], true)
}

func (p *Profile) drawTemplate(random *rand.Rand, t TemplateProfile, branches bool) Program {
	drawn := Program{Template: t.Template, Model: t.Model, SystemTokens: t.SystemTokens}
	turns := min(t.MaxTurns, max(1, int(t.Turns.draw(random))))
	for turn := range turns {
		step := Step{Kind: shard.EngineCall, OutputTokens: t.Output.tokens(random)}
		if turn == 0 {
			step.NewTokens = t.FirstTokens.tokens(random)
		} else {
			step.NewTokens = t.TurnTokens.tokens(random)
			step.Pause = time.Duration(t.PauseSecs.draw(random) * float64(time.Second))
		}
		drawn.Steps = append(drawn.Steps, step)
		drawn.Steps = append(drawn.Steps, p.drawFollowing(random, t, branches)...)
	}
	return drawn
}

// drawFollowing draws what follows a turn: a tool, a charge or sub-agents.
func (p *Profile) drawFollowing(random *rand.Rand, t TemplateProfile, branches bool) []Step {
	var steps []Step
	if random.Float64() < t.ToolShare {
		steps = append(steps, Step{Kind: shard.ToolCall, Service: p.Tools[random.IntN(len(p.Tools))]})
	}
	if random.Float64() < t.ChargeShare {
		steps = append(steps, Step{Kind: shard.ApplicationCall, Service: p.Applications[random.IntN(len(p.Applications))], Unrepeatable: true})
	}
	if branches && random.Float64() < t.BranchShare {
		step := Step{}
		for range 1 + random.IntN(t.MaxBranches) {
			branch := t
			branch.Turns.Median = math.Max(1, t.Turns.Median/3)
			step.Branches = append(step.Branches, p.drawTemplate(random, branch, false))
		}
		steps = append(steps, step)
	}
	return steps
}
