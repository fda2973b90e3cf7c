"""Tests of metrics."""

from __future__ import annotations
