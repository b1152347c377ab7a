"""Rate limits of teams, shared by all hosts without consensus between them."""
