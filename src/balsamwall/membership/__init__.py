"""VM list, leaving VMs, rendezvous hashing and subsets of peers."""

from __future__ import annotations
