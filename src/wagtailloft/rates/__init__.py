"""Teams' rates shared over all hosts without an agreement."""
