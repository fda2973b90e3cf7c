"""Tests of composition."""

from __future__ import annotations
