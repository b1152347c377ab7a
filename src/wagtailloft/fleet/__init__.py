"""The hosts of the fleet: membership, messages between them, and cached data of the store."""
