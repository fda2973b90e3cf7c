"""Fault soak: entry daemons as processes under injected faults."""
