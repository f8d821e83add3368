package admission

import (
	"reflect"
	"testing"

	"swiftbank.dev/swiftbank/internal/wiretest"
)

// Gateways of two versions exchange these figures.
func TestFieldsOfFiguresKeepTheirNames(t *testing.T) {
	wiretest.CheckFields(t, "testdata/fields.txt", map[string]reflect.Type{
		"program figures": reflect.TypeFor[[]entry](),
	})
}
