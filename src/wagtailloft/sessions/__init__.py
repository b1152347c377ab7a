"""Sessions of callers, each bound to one connection, and admission control."""
