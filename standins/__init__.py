"""Fake outside systems for tests and measurements: platform, database members, network, callers."""
