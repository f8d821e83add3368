package settings

// LoadControl holds the load control settings of a gateway. Load control applies to services in
// deployments whose guarantees require it, and to services whose streams several instances may
// execute. Each part can be disabled separately.
type LoadControl struct {
	// Guarantees names the guarantees in the operator's agreement with the callers.
	Guarantees []string `koanf:"guarantees"`
	// ReportsAge enables placement to give other gateways' load reports less weight as they
	// age.
	ReportsAge bool `koanf:"reportsAge"`
	// HeldShare is the fraction of the memory that may be buffered for callers; 0 means no
	// limit.
	HeldShare float64 `koanf:"heldShare" validate:"gte=0,lte=0.5"`
	// InstanceSpeeds enables routing of requests to the instance that is expected to finish
	// them first, based on the speed of each instance.
	InstanceSpeeds bool `koanf:"instanceSpeeds"`
	// ProgramAdmission enables the admission of new programs based on the expected demand of
	// running programs.
	ProgramAdmission bool `koanf:"programAdmission"`
	// LimitSetAside reserves part of the tenants' limits for programs that have begun, where
	// the guarantees require load control.
	LimitSetAside bool `koanf:"limitSetAside"`
	// FairShares queues new programs of tenants that exceed their fair share behind others
	// while capacity is scarce.
	FairShares bool `koanf:"fairShares"`
}

// defaultHeldShare is the default of HeldShare. The rest of a gateway's memory remains for the
// process itself.
const defaultHeldShare = 0.25

func defaultLoadControl() LoadControl {
	return LoadControl{ReportsAge: true, InstanceSpeeds: true, HeldShare: defaultHeldShare, ProgramAdmission: true, LimitSetAside: true, FairShares: true}
}
