// Package rawjson takes JSON documents apart without decoding their values, however deep these are nested. Where several
// writers share a document, a value that encoding/json cannot decode then costs itself alone.
//
// Only what is needed to find the ends of values is checked: callers decode the values that they use.
package rawjson

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// SyntaxError reports a document that cannot be taken apart.
type SyntaxError struct {
	// Offset is the position in bytes.
	Offset   int
	Expected string
}

// Error implements error.
func (e *SyntaxError) Error() string {
	return fmt.Sprintf("rawjson: no %s at byte %d", e.Expected, e.Offset)
}

// Fields returns the fields of an object. Of several with the same name the last one is returned.
func Fields(document []byte) (map[string]json.RawMessage, error) {
	fields := map[string]json.RawMessage{}
	s := scanner{text: document}
	err := s.list('{', '}', func() error {
		name, err := s.name()
		if err != nil {
			return err
		}
		if err := s.expect(':', "colon"); err != nil {
			return err
		}
		value, err := s.value()
		fields[name] = value
		return err
	})
	return fields, err
}

// Elements returns the elements of an array, none for null or an empty document.
func Elements(document []byte) ([]json.RawMessage, error) {
	trimmed := bytes.TrimSpace(document)
	if len(trimmed) == 0 || string(trimmed) == "null" {
		return nil, nil
	}
	var elements []json.RawMessage
	s := scanner{text: document}
	err := s.list('[', ']', func() error {
		value, err := s.value()
		elements = append(elements, value)
		return err
	})
	return elements, err
}

// scanner reads a document from its front.
type scanner struct {
	text []byte
	next int
}

// list reads an opening bracket, items with commas between them, and the closing bracket.
func (s *scanner) list(opening, closing byte, item func() error) error {
	if err := s.expect(opening, "opening bracket"); err != nil {
		return err
	}
	if s.skip(closing) {
		return nil
	}
	for {
		if err := item(); err != nil {
			return err
		}
		if s.skip(closing) {
			return nil
		}
		if err := s.expect(',', "comma"); err != nil {
			return err
		}
	}
}

// peek returns the next character that is no white space, 0 at the end.
func (s *scanner) peek() byte {
	for ; s.next < len(s.text); s.next++ {
		switch s.text[s.next] {
		case ' ', '\t', '\r', '\n':
		default:
			return s.text[s.next]
		}
	}
	return 0
}

// skip reads the character if it is the next one, and reports whether it was.
func (s *scanner) skip(character byte) bool {
	found := s.peek() == character
	if found {
		s.next++
	}
	return found
}

func (s *scanner) expect(character byte, expected string) error {
	if !s.skip(character) {
		return &SyntaxError{Offset: s.next, Expected: expected}
	}
	return nil
}

// name reads the name of a field.
func (s *scanner) name() (string, error) {
	if s.peek() != '"' {
		return "", &SyntaxError{Offset: s.next, Expected: "name"}
	}
	quoted, err := s.value()
	if err != nil {
		return "", err
	}
	var name string
	if err := json.Unmarshal(quoted, &name); err != nil {
		return "", fmt.Errorf("rawjson: name of a field: %w", err)
	}
	return name, nil
}

// value reads a value without decoding it.
func (s *scanner) value() (json.RawMessage, error) {
	first := s.peek()
	start := s.next
	var err error
	switch first {
	case '"':
		err = s.skipText()
	case '{', '[':
		err = s.skipNested()
	default:
		s.skipLiteral()
	}
	if err == nil && s.next == start {
		err = &SyntaxError{Offset: start, Expected: "value"}
	}
	return json.RawMessage(s.text[start:s.next:s.next]), err
}

// skipText reads a string.
func (s *scanner) skipText() error {
	for s.next++; s.next < len(s.text); s.next++ {
		switch s.text[s.next] {
		case '\\':
			s.next++
		case '"':
			s.next++
			return nil
		}
	}
	s.next = len(s.text) // an escape may have been the last character
	return &SyntaxError{Offset: s.next, Expected: "end of a string"}
}

// skipNested reads an array or an object.
func (s *scanner) skipNested() error {
	for depth := 0; s.next < len(s.text); {
		switch s.text[s.next] {
		case '"':
			if err := s.skipText(); err != nil {
				return err
			}
			continue
		case '{', '[':
			depth++
		case '}', ']':
			depth--
		}
		s.next++
		if depth == 0 {
			return nil
		}
	}
	return &SyntaxError{Offset: s.next, Expected: "closing bracket"}
}

// skipLiteral reads a number, true, false or null.
func (s *scanner) skipLiteral() {
	for ; s.next < len(s.text); s.next++ {
		switch s.text[s.next] {
		case ' ', '\t', '\r', '\n', ',', ':', '{', '}', '[', ']', '"':
			return
		}
	}
}
