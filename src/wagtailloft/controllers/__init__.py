"""Decisions as pure functions and classes: state and time in, decisions out, without I/O."""
