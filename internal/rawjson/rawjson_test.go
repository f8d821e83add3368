package rawjson

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestDocumentsAreTakenApart(t *testing.T) {
	fields, err := Fields([]byte(` { "a" : [ 1 , {"b":"]}\"\\"} ] , "\u0062":null,"c":-1.5e+3,"a":true} `))
	require.NoError(t, err)
	require.Equal(t, map[string]json.RawMessage{"a": json.RawMessage("true"), "b": json.RawMessage("null"), "c": json.RawMessage("-1.5e+3")}, fields)
	elements, err := Elements([]byte(`[{"x":1}, "a,b" ,[],2]`))
	require.NoError(t, err)
	require.Equal(t, []json.RawMessage{json.RawMessage(`{"x":1}`), json.RawMessage(`"a,b"`), json.RawMessage(`[]`), json.RawMessage(`2`)}, elements)
}

func TestDeepValuesAreTakenApart(t *testing.T) {
	deep := strings.Repeat(`{"a":[`, 1<<20) + strings.Repeat("]}", 1<<20)
	elements, err := Elements([]byte("[" + deep + ",1]"))
	require.NoError(t, err)
	require.Len(t, elements, 2)
	require.Len(t, elements[0], len(deep))
}

func TestMissingDocumentsHaveNoElements(t *testing.T) {
	for _, document := range []string{"", " ", "null", " null\n", "[]", " [ ] "} {
		elements, err := Elements([]byte(document))
		require.NoError(t, err, document)
		require.Empty(t, elements)
	}
}

func TestMalformedDocumentsAreErrors(t *testing.T) {
	for _, document := range []string{"", "[]", "{", `{"a"`, `{"a":`, `{"a":1`, `{"a":1,`, `{"a":1,}`, `{a:1}`, `{"a":[}`, `{"a":"`, `{"a":"\`, `{"a" 1}`, `{,}`, `{"a":}`} {
		_, err := Fields([]byte(document))
		require.Error(t, err, document)
	}
	for _, document := range []string{"{}", "[", "[1", "[1,", "[,]", "[1 2]", `["`, "1"} {
		_, err := Elements([]byte(document))
		require.Error(t, err, document)
	}
}

// FuzzFields compares the fields with those that encoding/json finds.
func FuzzFields(f *testing.F) {
	for _, seed := range []string{`{}`, `{"a":[1,{"b":null}],"c":"\"}"}`, `[1]`, `{"a":1}x`, "{\"\xff\":1}"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, document []byte) {
		fields, err := Fields(document)
		var expected map[string]json.RawMessage
		if json.Unmarshal(document, &expected) != nil || expected == nil {
			return // what follows the object, or is no JSON inside of it, is not looked at
		}
		require.NoError(t, err)
		require.Equal(t, expected, fields)
	})
}

// FuzzElements compares the elements with those that encoding/json finds.
func FuzzElements(f *testing.F) {
	for _, seed := range []string{`[]`, `[1,[2,"]"],{"a":"}"}]`, `null`, `[1]x`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, document []byte) {
		elements, err := Elements(document)
		var expected []json.RawMessage
		if json.Unmarshal(document, &expected) != nil {
			return
		}
		require.NoError(t, err)
		require.Len(t, elements, len(expected))
		for index := range expected {
			require.Equal(t, expected[index], elements[index])
		}
	})
}
