"""Tests of the coordination of engine orders."""

from __future__ import annotations
