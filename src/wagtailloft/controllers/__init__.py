"""Pure decisions: board and time in, entries and intents out."""
