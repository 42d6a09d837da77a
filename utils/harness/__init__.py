"""Starts agatespar with its stand-ins as plain processes, for the demo, the process tests and the measurements."""
