"""Tests of entry."""

from __future__ import annotations
