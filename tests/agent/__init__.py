"""Tests of the agent package."""

from __future__ import annotations
