"""Tests of residency."""

from __future__ import annotations
