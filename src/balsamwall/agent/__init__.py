"""Wiring of the agent role."""

from __future__ import annotations
