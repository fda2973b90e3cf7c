"""Tests of routing."""

from __future__ import annotations
