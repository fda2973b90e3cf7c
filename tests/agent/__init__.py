"""Tests of agent."""

from __future__ import annotations
