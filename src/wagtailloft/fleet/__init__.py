"""The hosts of the fleet: who lives, what they tell each other, and how old their news is."""
