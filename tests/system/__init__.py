"""Tests of the whole system as processes on loopback."""

from __future__ import annotations
