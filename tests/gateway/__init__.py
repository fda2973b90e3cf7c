"""Tests of limits."""

from __future__ import annotations
