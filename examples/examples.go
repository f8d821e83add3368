// Package examples embeds the example declarations and the demo's trace, so that
// the demo needs no files beside the binary.
package examples

import "embed"

// Files holds declarations/*.yaml and demo/trace.jsonl.
//
//go:embed declarations/*.yaml demo/trace.jsonl
var Files embed.FS

// Keys are the API keys of the example tenants.
var Keys = map[string]string{
	"coop-riga": "demo-key-coop-riga",
	"lgbo":      "demo-key-lgbo",
}
