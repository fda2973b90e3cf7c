"""Step definitions of the scenarios."""
