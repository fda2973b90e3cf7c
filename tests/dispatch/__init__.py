"""Tests of dispatch."""

from __future__ import annotations
