"""Tests of the benchmarks."""

from __future__ import annotations
