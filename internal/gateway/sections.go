package gateway

import (
	"bytes"
	"encoding/gob"
	"time"

	"swiftbank.dev/swiftbank/internal/tally"
)

// reportSection is the part of the load reports that belongs to one feature. Its figures are sent
// with each report, so they must stay small: a gateway sends up to 60 reports a second. Versions
// that do not know a section ignore it.
type reportSection interface {
	// name returns the section's key in the reports.
	name() string
	// ownFigures returns this gateway's figures, encoded; zoneFigures returns the combined
	// figures of the own zone's gateways. nil omits the section.
	ownFigures(now time.Time) []byte
	zoneFigures(now time.Time) []byte
	// apply records what a source reported, unless it is older than that source's previous
	// report.
	apply(now time.Time, source tally.Source, version tally.Version, figures []byte)
}

// AddSection adds a section to the load reports; nil adds none. It must be called before Run.
func (g *Gossip) AddSection(section reportSection) {
	if section != nil {
		g.sections = append(g.sections, section)
	}
}

// ownSections and zoneSections return the encoded sections of a report.
func (g *Gossip) ownSections(now time.Time) map[string][]byte {
	return g.encodeSections(func(section reportSection) []byte { return section.ownFigures(now) })
}

func (g *Gossip) zoneSections(now time.Time) map[string][]byte {
	return g.encodeSections(func(section reportSection) []byte { return section.zoneFigures(now) })
}

func (g *Gossip) encodeSections(figures func(reportSection) []byte) map[string][]byte {
	var encoded map[string][]byte
	for _, section := range g.sections {
		sectionFigures := figures(section)
		if len(sectionFigures) == 0 {
			continue
		}
		if encoded == nil {
			encoded = map[string][]byte{}
		}
		encoded[section.name()] = sectionFigures
	}
	return encoded
}

// applySections passes the figures of a report to its sections. A report on the own zone from
// another of its gateways contains only what is known here already.
func (g *Gossip) applySections(now time.Time, report loadReport) {
	source := tally.Source{Gateway: report.Gateway}
	switch report.Zone {
	case "":
	case g.zone:
		return
	default:
		source = tally.Source{Zone: report.Zone}
	}
	for _, section := range g.sections {
		if figures := report.Sections[section.name()]; figures != nil {
			section.apply(now, source, report.Version, figures)
		}
	}
}

// encodeFigures returns figures in the encoding of a section, nil if there are none.
func encodeFigures[K comparable](figures map[K]float64) []byte {
	if len(figures) == 0 {
		return nil
	}
	var message bytes.Buffer
	if gob.NewEncoder(&message).Encode(figures) != nil {
		return nil
	}
	return message.Bytes()
}

// decodeFigures decodes what encodeFigures returned; ok is false if that is malformed.
func decodeFigures[K comparable](encoded []byte) (figures map[K]float64, ok bool) {
	err := gob.NewDecoder(bytes.NewReader(encoded)).Decode(&figures)
	return figures, err == nil
}
