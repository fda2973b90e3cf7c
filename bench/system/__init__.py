"""Benchmarks of the resource use of running daemons."""

from __future__ import annotations
