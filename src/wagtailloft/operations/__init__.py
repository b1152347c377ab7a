"""What operators see: counters, and the reading of logs."""
