"""Tests of the platform adapters."""

from __future__ import annotations
