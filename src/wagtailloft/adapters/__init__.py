"""Clients and servers for callers, operators, peers, group members and the object API."""
