package explain

// describeOutcome says what became of the instance of a lost run.
func describeOutcome(outcome string) string {
	if outcome == "unresolved" || outcome == "running" {
		return "may yet end"
	}
	return "has " + outcome
}
