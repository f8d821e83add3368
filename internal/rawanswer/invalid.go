package rawanswer

// Invalid returns answers that are no HTTP/1 responses, by what is wrong with them. The fields are whole lines of
// their heads. Valid bytes follow the invalid ones, and must not be taken for an answer either.
func Invalid(fields string) map[string]string {
	const body = "Content-Length: 5\r\n\r\nother"
	head := "HTTP/1.1 200 OK\r\n" + fields
	return map[string]string{
		"status 000":                     "HTTP/1.1 000 Nothing\r\n" + fields + "\r\n" + head + body,
		"status 099":                     "HTTP/1.1 099 Nothing\r\n" + fields + "\r\n" + head + body,
		"status 101":                     "HTTP/1.1 101 Switching Protocols\r\n" + fields + "\r\n" + head + body,
		"status 600":                     "HTTP/1.1 600 Much\r\n" + fields + body,
		"status 999":                     "HTTP/1.1 999 Much\r\n" + fields + body,
		"status with a sign":             "HTTP/1.1 +20 OK\r\n" + fields + body,
		"version 2":                      "HTTP/2.0 200 OK\r\n" + fields + body,
		"version 3.7":                    "HTTP/3.7 200 OK\r\n" + fields + body,
		"blank in a name":                head + "X Field: a\r\n" + body,
		"blank before the colon":         head + "X-Field : a\r\n" + body,
		"coding with a blank":            head + "Transfer-Encoding : chunked\r\n\r\n5\r\nother\r\n0\r\n\r\n",
		"length with a blank":            head + "Content-Length : 500\r\n\r\nother",
		"tab in a name":                  head + "X\tField: a\r\n" + body,
		"control byte in a name":         head + "X\x01Field: a\r\n" + body,
		"byte over 127 in a name":        head + "X\xfcField: a\r\n" + body,
		"separator in a name":            head + "X(Field): a\r\n" + body,
		"empty name":                     head + ": a\r\n" + body,
		"no colon":                       head + "X-Field\r\n" + body,
		"blank in a name of an interim":  "HTTP/1.1 103 Early Hints\r\nX Field: a\r\n\r\n" + head + body,
		"blank in a name of a trailer":   head + "Transfer-Encoding: chunked\r\n\r\n5\r\nother\r\n0\r\nX Field: a\r\n\r\n",
		"control byte in a value":        head + "X-Field: a\x01b\r\n" + body,
		"carriage return within a value": head + "X-Field: a\rb\r\n" + body,
		"two different lengths":          head + "Content-Length: 4\r\n" + body,
		"unknown coding":                 head + "Transfer-Encoding: packed\r\n" + body,
	}
}
