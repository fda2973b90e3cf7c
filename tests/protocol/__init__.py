"""Tests of the internal protocol."""

from __future__ import annotations
