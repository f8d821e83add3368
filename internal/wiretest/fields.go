// Package wiretest helps tests to check the names that leave the process: fields that encoders
// write into messages and files, and literals that callers, peers, operators and stored data know.
package wiretest

import (
	"encoding"
	"encoding/gob"
	"fmt"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// CheckFields fails the test unless the fields reached from the roots are those that a file lists.
// A field that the code lacks is one that another version of the program writes or expects.
func CheckFields(t *testing.T, file string, roots map[string]reflect.Type) {
	t.Helper()
	content, err := os.ReadFile(file)
	require.NoError(t, err)
	var fields []string
	for name, root := range roots {
		fields = append(fields, name)
		fields = append(fields, Fields(name, root)...)
	}
	slices.Sort(fields)
	require.Equal(t, strings.Split(strings.TrimSpace(string(content)), "\n"), fields)
}

var encodesItself = []reflect.Type{
	reflect.TypeFor[gob.GobEncoder](),
	reflect.TypeFor[encoding.BinaryMarshaler](),
	reflect.TypeFor[encoding.TextMarshaler](),
}

// Fields lists the exported fields that an encoder reaches from a type, each with its path from
// the root, its kind and its tag. Names of types are left out: encoding/gob and encoding/json match
// fields by name alone.
func Fields(root string, of reflect.Type) []string {
	return walk(root, of, nil)
}

func walk(path string, of reflect.Type, above []reflect.Type) []string {
	for _, seen := range above {
		if seen == of {
			return nil
		}
	}
	if implementsAny(of) {
		return nil
	}
	switch of.Kind() {
	case reflect.Pointer:
		return walk(path, of.Elem(), above)
	case reflect.Slice, reflect.Array:
		return walk(path+"[]", of.Elem(), above)
	case reflect.Map:
		return append(walk(path+"{key}", of.Key(), above), walk(path+"{}", of.Elem(), above)...)
	case reflect.Struct:
		return walkStruct(path, of, append(above[:len(above):len(above)], of))
	default:
		return nil
	}
}

func walkStruct(path string, of reflect.Type, above []reflect.Type) []string {
	var fields []string
	for i := range of.NumField() {
		field := of.Field(i)
		if !field.IsExported() {
			continue
		}
		name := path + "." + field.Name
		fields = append(fields, strings.TrimSpace(fmt.Sprintf("%s %s %s", name, field.Type.Kind(), field.Tag)))
		fields = append(fields, walk(name, field.Type, above)...)
	}
	return fields
}

func implementsAny(of reflect.Type) bool {
	for _, encoder := range encodesItself {
		if of.Implements(encoder) || reflect.PointerTo(of).Implements(encoder) {
			return true
		}
	}
	return false
}
