"""Edges to callers, operators, peers, members and the platform."""
