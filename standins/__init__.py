"""Stand-ins of the outside systems: platform, database member, network, and callers."""
