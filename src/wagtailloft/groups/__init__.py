"""Database groups: primaries and failover, routing of statements, and links to members."""
