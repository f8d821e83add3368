package declaration

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/go-playground/validator/v10"
	"go.yaml.in/yaml/v3"
)

// Fault is one error in a declaration file.
type Fault struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Field   string `json:"field"`
	Problem string `json:"problem"`
}

// String returns the fault in the form that editors can jump to.
func (f Fault) String() string {
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Field, f.Problem)
}

// Set is what a folder of declaration files says.
type Set struct {
	Objects map[Reference]Object
	// Places tells where each object was declared.
	Places map[Reference]Place
	Faults []Fault
}

// Place is a position in a declaration file.
type Place struct {
	File string
	Line int
}

// document is the outer form of each YAML document.
type document struct {
	Kind Kind      `yaml:"kind"`
	Name string    `yaml:"name"`
	Spec yaml.Node `yaml:"spec"`
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// typeErrorPattern takes apart the messages of the YAML library.
var typeErrorPattern = regexp.MustCompile(`^line (\d+): (.*)$`)

// unknownFieldPattern matches the YAML library's message for a key that no field has.
var unknownFieldPattern = regexp.MustCompile(`field (\S+) not found in type`)

var checker = newChecker()

func newChecker() *validator.Validate {
	check := validator.New(validator.WithRequiredStructEnabled())
	check.RegisterTagNameFunc(func(field reflect.StructField) string {
		return strings.Split(field.Tag.Get("yaml"), ",")[0]
	})
	return check
}

// ReadPaths reads YAML files; a folder stands for the .yaml files in it.
func ReadPaths(paths []string) (*Set, error) {
	set := &Set{Objects: map[Reference]Object{}, Places: map[Reference]Place{}}
	for _, path := range paths {
		files, err := listFiles(path)
		if err != nil {
			return nil, err
		}
		for _, file := range files {
			content, err := os.ReadFile(file)
			if err != nil {
				return nil, fmt.Errorf("read declarations: %w", err)
			}
			set.Parse(file, content)
		}
	}
	set.checkReferences()
	set.sortFaults()
	return set, nil
}

func listFiles(path string) ([]string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("read declarations: %w", err)
	}
	if !info.IsDir() {
		return []string{path}, nil
	}
	files, err := filepath.Glob(filepath.Join(path, "*.yaml"))
	if err != nil {
		return nil, fmt.Errorf("read declarations: %w", err)
	}
	if len(files) == 0 {
		return nil, fmt.Errorf("read declarations: folder %s holds no .yaml file", path)
	}
	return files, nil
}

// Parse adds the declarations of one file to the set, with the faults found.
func (s *Set) Parse(file string, content []byte) {
	decoder := yaml.NewDecoder(bytes.NewReader(content))
	for {
		var node yaml.Node
		err := decoder.Decode(&node)
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			s.fault(file, syntaxErrorLine(err), "document", err.Error())
			return
		}
		s.parseDocument(file, &node)
	}
}

func (s *Set) parseDocument(file string, node *yaml.Node) {
	body := node
	if node.Kind == yaml.DocumentNode && len(node.Content) == 1 {
		body = node.Content[0]
	}
	if body.Kind == yaml.ScalarNode && body.Tag == "!!null" {
		return // an empty document, as after a closing separator
	}
	var outer document
	if !s.decodeStrict(file, "document", body, &outer) {
		return
	}
	reference := Reference{Kind: outer.Kind, Name: outer.Name}
	if !namePattern.MatchString(outer.Name) {
		s.fault(file, lineOf(body, "name"), "name", "must be 1 to 63 of a-z, 0-9 and '-', beginning and ending with a letter or digit")
	}
	object := Object{Reference: reference}
	var spec any
	switch outer.Kind {
	case KindTemplate:
		object.Template = &Template{}
		spec = object.Template
	case KindTenant:
		object.Tenant = &Tenant{}
		spec = object.Tenant
	case KindInstance:
		object.Instance = &Instance{}
		spec = object.Instance
	default:
		s.fault(file, lineOf(body, "kind"), "kind", "must be Template, Tenant or Instance")
		return
	}
	if outer.Spec.Kind == 0 {
		s.fault(file, body.Line, "spec", "is missing")
		return
	}
	if s.decodeStrict(file, "spec", &outer.Spec, spec) {
		s.checkFields(file, &outer.Spec, spec)
	}
	if earlier, taken := s.Places[reference]; taken {
		s.fault(file, body.Line, "name", fmt.Sprintf("%s is already declared at %s:%d", reference, earlier.File, earlier.Line))
		return
	}
	s.Objects[reference] = object
	s.Places[reference] = Place{File: file, Line: body.Line}
}

// decodeStrict decodes a node and refuses unknown keys.
func (s *Set) decodeStrict(file, field string, node *yaml.Node, into any) bool {
	encoded, err := yaml.Marshal(node)
	if err != nil {
		s.fault(file, node.Line, field, err.Error())
		return false
	}
	strict := yaml.NewDecoder(bytes.NewReader(encoded))
	strict.KnownFields(true)
	if strict.Decode(into) == nil {
		// Decoded from the original once more, nodes inside keep their true lines.
		return node.Decode(into) == nil
	}
	// Decode the original node for correct lines, then name the unknown keys.
	var typeError *yaml.TypeError
	if err := node.Decode(into); errors.As(err, &typeError) {
		for _, message := range typeError.Errors {
			s.typeFault(file, field, node, message)
		}
	} else if err != nil {
		s.fault(file, node.Line, field, err.Error())
	}
	s.unknownKeys(file, field, node, reflect.TypeOf(into).Elem())
	return false
}

func (s *Set) typeFault(file, field string, node *yaml.Node, message string) {
	parts := typeErrorPattern.FindStringSubmatch(message)
	if parts == nil {
		s.fault(file, node.Line, field, message)
		return
	}
	line, _ := strconv.Atoi(parts[1])
	if unknownFieldPattern.MatchString(parts[2]) {
		return // reported by unknownKeys
	}
	s.fault(file, line, fieldAtLine(field, node, line), parts[2])
}

// unknownKeys reports the keys of a mapping that the type has no field for.
func (s *Set) unknownKeys(file, field string, node *yaml.Node, structure reflect.Type) {
	if node.Kind != yaml.MappingNode || structure.Kind() != reflect.Struct {
		return
	}
	known := map[string]reflect.Type{}
	var names []string
	for i := range structure.NumField() {
		name := strings.Split(structure.Field(i).Tag.Get("yaml"), ",")[0]
		known[name] = structure.Field(i).Type
		names = append(names, name)
	}
	for i := 0; i+1 < len(node.Content); i += 2 {
		key := node.Content[i]
		inner, ok := known[key.Value]
		if !ok {
			s.fault(file, key.Line, field+"."+key.Value, "is unknown here; known are "+strings.Join(names, ", "))
			continue
		}
		if inner != reflect.TypeFor[yaml.Node]() {
			s.unknownKeys(file, field+"."+key.Value, node.Content[i+1], inner)
		}
	}
}

// checkFields applies the constraints in the struct tags.
func (s *Set) checkFields(file string, node *yaml.Node, spec any) {
	var failures validator.ValidationErrors
	if !errors.As(checker.Struct(spec), &failures) {
		return
	}
	for _, failure := range failures {
		_, path, _ := strings.Cut(failure.Namespace(), ".")
		constraint := failure.Tag()
		if failure.Param() != "" {
			constraint += "=" + failure.Param()
		}
		s.fault(file, lineOf(node, strings.Split(path, ".")...), "spec."+path, fmt.Sprintf("is %q but must satisfy %s", fmt.Sprint(failure.Value()), constraint))
	}
}

// checkReferences reports instances whose template or tenant is not declared
// beside them.
func (s *Set) checkReferences() {
	for reference, object := range s.Objects {
		if object.Instance == nil {
			continue
		}
		place := s.Places[reference]
		if _, found := s.Objects[Reference{KindTemplate, object.Instance.Template}]; !found {
			s.fault(place.File, place.Line, "spec.template", fmt.Sprintf("template %q is not declared", object.Instance.Template))
		}
		if _, found := s.Objects[Reference{KindTenant, object.Instance.Tenant}]; !found {
			s.fault(place.File, place.Line, "spec.tenant", fmt.Sprintf("tenant %q is not declared", object.Instance.Tenant))
		}
	}
}

func (s *Set) fault(file string, line int, field, problem string) {
	s.Faults = append(s.Faults, Fault{File: file, Line: line, Field: field, Problem: problem})
}

func (s *Set) sortFaults() {
	slices.SortStableFunc(s.Faults, func(a, b Fault) int {
		if order := strings.Compare(a.File, b.File); order != 0 {
			return order
		}
		return a.Line - b.Line
	})
}

// lineOf returns the line of a nested key, or of the nearest mapping around it.
func lineOf(node *yaml.Node, path ...string) int {
	line := node.Line
	for _, name := range path {
		name, _, _ = strings.Cut(name, "[") // an index is left out, if there is one
		child := childOf(node, name)
		if child == nil {
			return line
		}
		node, line = child, child.Line
	}
	return line
}

func childOf(node *yaml.Node, name string) *yaml.Node {
	if node.Kind != yaml.MappingNode {
		return nil
	}
	for i := 0; i+1 < len(node.Content); i += 2 {
		if node.Content[i].Value == name {
			return node.Content[i+1]
		}
	}
	return nil
}

// fieldAtLine finds the key whose value begins on the given line.
func fieldAtLine(field string, node *yaml.Node, line int) string {
	if node.Kind != yaml.MappingNode {
		return field
	}
	for i := 0; i+1 < len(node.Content); i += 2 {
		value := node.Content[i+1]
		if value.Line == line && value.Kind == yaml.ScalarNode {
			return field + "." + node.Content[i].Value
		}
		if found := fieldAtLine(field+"."+node.Content[i].Value, value, line); found != field+"."+node.Content[i].Value {
			return found
		}
	}
	return field
}

var syntaxLinePattern = regexp.MustCompile(`line (\d+)`)

func syntaxErrorLine(err error) int {
	if parts := syntaxLinePattern.FindStringSubmatch(err.Error()); parts != nil {
		line, _ := strconv.Atoi(parts[1])
		return line
	}
	return 1
}
