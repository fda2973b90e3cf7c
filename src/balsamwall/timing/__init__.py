"""Clocks and timers in milliseconds."""

from __future__ import annotations
