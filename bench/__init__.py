"""Benchmarks in virtual time and of processor cost."""

from __future__ import annotations
