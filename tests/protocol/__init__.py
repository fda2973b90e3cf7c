"""Tests of protocol."""

from __future__ import annotations
