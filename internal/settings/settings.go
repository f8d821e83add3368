// Package settings reads and validates the settings file of a node. Flags override the file.
// Errors about unknown keys and invalid values say how to correct them.
package settings

import (
	"errors"
	"fmt"
	"os"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/knadh/koanf/providers/confmap"
	"github.com/knadh/koanf/v2"
	"go.yaml.in/yaml/v3"

	"swiftbank.dev/swiftbank/internal/topology"
)

// Node holds the settings of one node. docs/OPERATIONS.md explains each key.
type Node struct {
	ID string `koanf:"id" validate:"required"`
	// CallerAddress is the address on which the node serves callers over HTTP.
	CallerAddress string `koanf:"callerAddress" validate:"required,hostname_port"`
	// OperatorAddress serves metrics, health and status.
	OperatorAddress string `koanf:"operatorAddress" validate:"required,hostname_port"`
	// PlatformAddress is the URL of the platform's object API and machine list.
	PlatformAddress string `koanf:"platformAddress" validate:"required,url"`
	// Nodes lists all nodes of the region, this one included.
	Nodes         []topology.Node `koanf:"nodes" validate:"required,min=1,dive"`
	ShardsPerCell int             `koanf:"shardsPerCell" validate:"gte=1,lte=1024"`
	Limits        Limits          `koanf:"limits"`
	Timeouts      Timeouts        `koanf:"timeouts"`
	LogLevel      string          `koanf:"logLevel" validate:"oneof=debug info warn error"`
}

// Limits protect a node from its callers.
type Limits struct {
	BodyBytes   int64 `koanf:"bodyBytes" validate:"gt=0"`
	HeaderBytes int   `koanf:"headerBytes" validate:"gt=0"`
	// OpenCalls bounds the number of concurrent calls and streams.
	OpenCalls int `koanf:"openCalls" validate:"gt=0"`
	// HeaderTime and ReadTime bound how long a caller may take to send the headers and the
	// body, and WriteTime how long it may take to accept each part of a response.
	HeaderTime time.Duration `koanf:"headerTime" validate:"gt=0"`
	ReadTime   time.Duration `koanf:"readTime" validate:"gt=0"`
	WriteTime  time.Duration `koanf:"writeTime" validate:"gt=0"`
}

// Timeouts bound the calls to back ends and, with Drain, a planned shutdown.
type Timeouts struct {
	Engine      time.Duration `koanf:"engine" validate:"gt=0"`
	Application time.Duration `koanf:"application" validate:"gt=0"`
	Tool        time.Duration `koanf:"tool" validate:"gt=0"`
	Drain       time.Duration `koanf:"drain" validate:"gt=0"`
}

// Default returns the default settings of a node.
func Default() Node {
	return Node{
		ShardsPerCell: 16,
		LogLevel:      "info",
		Limits: Limits{
			BodyBytes: 4 << 20, HeaderBytes: 32 << 10, OpenCalls: 4096,
			HeaderTime: 5 * time.Second, ReadTime: 30 * time.Second, WriteTime: 30 * time.Second,
		},
		Timeouts: Timeouts{
			Engine: 10 * time.Minute, Application: 30 * time.Second, Tool: time.Minute, Drain: 2 * time.Minute,
		},
	}
}

// Load reads the settings file at path and applies overrides of the form "key=value".
func Load(path string, overrides []string) (Node, error) {
	return loadFile(path, overrides, Default())
}

// checker is a settings type that can validate itself.
type checker interface{ Check() error }

// loadFile reads a settings file into a copy of the given defaults, applies the overrides and
// validates the result.
func loadFile[T checker](path string, overrides []string, settings T) (T, error) {
	var zero T
	content, err := os.ReadFile(path)
	if err != nil {
		return zero, fmt.Errorf("settings: %w", err)
	}
	var values map[string]any
	if err := yaml.Unmarshal(content, &values); err != nil {
		return zero, fmt.Errorf("settings: %s: %w", path, err)
	}
	tree := koanf.New(".")
	if err := tree.Load(confmap.Provider(values, "."), nil); err != nil {
		return zero, fmt.Errorf("settings: %s: %w", path, err)
	}
	for _, override := range overrides {
		key, value, found := strings.Cut(override, "=")
		if !found {
			return zero, fmt.Errorf("settings: --set %q: write it as key=value", override)
		}
		if err := tree.Set(key, value); err != nil {
			return zero, fmt.Errorf("settings: --set %q: %w", override, err)
		}
	}
	return decode(path, tree, settings)
}

func decode[T checker](path string, tree *koanf.Koanf, settings T) (T, error) {
	var zero T
	known := knownKeys(reflect.TypeFor[T](), "")
	if unknown := unknownKeys(tree, known); len(unknown) > 0 {
		return zero, fmt.Errorf("settings: %s: unknown key %s; known keys are %s",
			path, strings.Join(unknown, ", "), strings.Join(known, ", "))
	}
	if err := tree.Unmarshal("", &settings); err != nil {
		return zero, fmt.Errorf("settings: %s: %w", path, err)
	}
	if err := settings.Check(); err != nil {
		return zero, fmt.Errorf("settings: %s: %w", path, err)
	}
	return settings, nil
}

// Check returns an error that describes the first invalid setting.
func (n Node) Check() error {
	if err := checkFields(n); err != nil {
		return err
	}
	if !slices.ContainsFunc(n.Nodes, func(node topology.Node) bool { return node.ID == n.ID }) {
		return fmt.Errorf("id: %q is not in the list of nodes; add it there with its zone and address", n.ID)
	}
	return nil
}

// checkFields returns an error for the first field that violates its validation tag.
func checkFields(settings any) error {
	validate := validator.New(validator.WithRequiredStructEnabled())
	validate.RegisterTagNameFunc(func(field reflect.StructField) string { return field.Tag.Get("koanf") })
	var failures validator.ValidationErrors
	if errors.As(validate.Struct(settings), &failures) {
		return fieldError(failures[0])
	}
	return nil
}

func fieldError(failure validator.FieldError) error {
	_, key, _ := strings.Cut(failure.Namespace(), ".")
	switch failure.Tag() {
	case "required":
		return fmt.Errorf("%s: is missing", key)
	case "hostname_port":
		return fmt.Errorf("%s: %q is not an address; write host:port, for example 127.0.0.1:7101", key, failure.Value())
	case "url":
		return fmt.Errorf("%s: %q is not a URL; write for example http://127.0.0.1:7000", key, failure.Value())
	case "oneof":
		return fmt.Errorf("%s: %q must be one of %s", key, failure.Value(), failure.Param())
	default:
		return fmt.Errorf("%s: %v must satisfy %s %s", key, failure.Value(), failure.Tag(), failure.Param())
	}
}

func unknownKeys(tree *koanf.Koanf, known []string) []string {
	var unknown []string
	for _, key := range tree.Keys() {
		if !slices.ContainsFunc(known, func(name string) bool { return matchesKey(name, key) }) {
			unknown = append(unknown, key)
		}
	}
	return unknown
}

// mapKey stands for an arbitrary key of a map in the list of known keys.
const mapKey = "*"

// matchesKey reports whether a key of a file equals the known key or lies within a known map.
func matchesKey(known, key string) bool {
	parent, isMap := strings.CutSuffix(known, mapKey)
	if !isMap {
		return known == key
	}
	return strings.HasPrefix(key, parent) || key+"." == parent
}

// knownKeys returns the full paths of the keys of a struct.
func knownKeys(structure reflect.Type, prefix string) []string {
	var keys []string
	for i := range structure.NumField() {
		field := structure.Field(i)
		if field.Anonymous {
			keys = append(keys, knownKeys(field.Type, prefix)...)
			continue
		}
		name := prefix + field.Tag.Get("koanf")
		if field.Type.Kind() == reflect.Struct {
			keys = append(keys, knownKeys(field.Type, name+".")...)
			continue
		}
		if field.Type.Kind() == reflect.Map {
			name += "." + mapKey
		}
		keys = append(keys, name)
	}
	return keys
}
