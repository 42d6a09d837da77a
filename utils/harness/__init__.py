"""Starts agatespar and its stand-ins as local processes, for the demo, the process tests and the measurements."""
