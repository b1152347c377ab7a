"""Database groups: who leads, which member serves a statement, and the links to members."""
