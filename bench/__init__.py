"""Benchmarks of placement and routing in virtual time, and of CPU cost."""

from __future__ import annotations
