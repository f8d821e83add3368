package backend

import (
	"strconv"
	"time"
)

// SoftwareVersion identifies the software that the instance runs. Two instances of a service with the
// same software version can continue each other's streams. An instance that does not report its version
// shares its software with no other one.
func (i Instance) SoftwareVersion() string {
	if i.Version != "" {
		return i.Version
	}
	return "unreported by " + i.ID + "/" + strconv.FormatUint(i.Born, 10)
}

const (
	// versionCacheTTL is how long the software versions of a service are cached while the list of
	// instances does not change. Unlisted instances leave service without a change.
	versionCacheTTL = time.Second
	// scarceDivisor and reservedDivisor: where a version has at most 1/scarceDivisor of the service's
	// slots, requests that may run at other versions leave 1/reservedDivisor of its slots free. The
	// streams that it began can continue nowhere else.
	scarceDivisor   = 4
	reservedDivisor = 4
)

// serviceVersions are the software versions of a service's instances that may get requests.
type serviceVersions struct {
	// single is the version that all of them report; "" if there is none.
	single string
	// scarce are the reported versions that only few slots run; nil if there is one version.
	scarce map[string]bool
	at     time.Time
}

// SingleVersion returns the software version that all instances of a service report. It returns "" if
// they run several versions, do not report one, or if no instance may get requests.
func (d *Directory) SingleVersion(now time.Time, service string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.versionsOf(now, service).single
}

// versionsOf returns the software versions of a service. The caller must hold the lock.
func (d *Directory) versionsOf(now time.Time, service string) serviceVersions {
	cached, found := d.versions[service]
	if !found || now.Sub(cached.at) >= versionCacheTTL {
		cached = d.scanVersions(now, service)
		d.versions[service] = cached
	}
	return cached
}

// scanVersions scans all instances of a service. The caller must hold the lock.
func (d *Directory) scanVersions(now time.Time, service string) serviceVersions {
	slots, total := map[string]int{}, 0
	for _, m := range d.byService[service] {
		if !m.mayServe(now) {
			continue
		}
		slots[m.instance.Version] += max(1, m.instance.Slots)
		total += max(1, m.instance.Slots)
	}
	versions := serviceVersions{at: now}
	for version, own := range slots {
		switch {
		case len(slots) == 1 && version != "":
			versions.single = version
		case version != "" && own*scarceDivisor <= total:
			if versions.scarce == nil {
				versions.scarce = map[string]bool{}
			}
			versions.scarce[version] = true
		}
	}
	return versions
}

// isReserved reports whether the instance's free slots are reserved for streams that its version began.
func (s *sample) isReserved(m *member) bool {
	if s.demand.Version != "" || !s.scarceVersions[m.instance.Version] {
		return false
	}
	slots := max(1, m.instance.Slots)
	return m.load(s.now) >= slots-max(1, slots/reservedDivisor)
}

// Serves reports whether an instance of the service that runs the software version may get requests.
func (d *Directory) Serves(now time.Time, service, version string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, m := range d.byService[service] {
		if m.instance.SoftwareVersion() == version && m.mayServe(now) {
			return true
		}
	}
	return false
}

// VersionOf returns the service and the software version of a listed instance in its run since born, a
// Unix time in milliseconds or 0 if that is unknown.
func (d *Directory) VersionOf(id string, born uint64) (service, version string, listed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := d.members[id]
	if m == nil || born != m.instance.Born {
		return "", "", false
	}
	return m.instance.Service, m.instance.SoftwareVersion(), true
}
