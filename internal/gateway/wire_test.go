package gateway

import (
	"reflect"
	"testing"

	"swiftbank.dev/swiftbank/internal/wiretest"
)

// Gateways of different versions exchange these reports.
func TestFieldsOfLoadReportsKeepTheirNames(t *testing.T) {
	wiretest.CheckFields(t, "testdata/fields.txt", map[string]reflect.Type{
		"load report": reflect.TypeFor[loadReport](),
	})
}
