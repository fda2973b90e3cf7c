"""Tests of the result codes."""

from __future__ import annotations
