"""Tests of timing."""

from __future__ import annotations
