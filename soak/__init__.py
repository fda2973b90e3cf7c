"""Fault soak: real entries as processes, with faults from outside them."""
