"""Callers' sessions: values, prepared statements and a transaction, bound to one connection."""
