package settings

// LoadControl holds a gateway's settings of load control. It decides about the services of
// deployments whose guarantees ask for it, and of those whose streams may be run by several
// instances; each part can be switched off alone.
type LoadControl struct {
	// Guarantees names what the operator's agreement with the callers holds.
	Guarantees []string `koanf:"guarantees"`
	// ReportsAge says that placement counts other gateways' reports of load less the older
	// they are.
	ReportsAge bool `koanf:"reportsAge"`
	// HeldShare is the share of the memory that may be held for callers; 0 does not bound it.
	HeldShare float64 `koanf:"heldShare" validate:"gte=0,lte=0.5"`
	// ProgramAdmission says that new programs are admitted by what programs under way will
	// need.
	ProgramAdmission bool `koanf:"programAdmission"`
	// TurnOrder lets turns of begun programs wait for more urgent ones where load control is
	// called for.
	TurnOrder bool `koanf:"turnOrder"`
	// LimitSetAside sets credit of tenants' limits aside for programs that have begun, where the
	// guarantees ask for load control.
	LimitSetAside bool `koanf:"limitSetAside"`
	// FairShares puts new programs of tenants above their fair share behind others while room is
	// short.
	FairShares bool `koanf:"fairShares"`
}

// defaultHeldShare leaves the rest of a gateway's memory to the process itself.
const defaultHeldShare = 0.25

func defaultLoadControl() LoadControl {
	return LoadControl{ReportsAge: true, HeldShare: defaultHeldShare, ProgramAdmission: true, TurnOrder: true, LimitSetAside: true, FairShares: true}
}
