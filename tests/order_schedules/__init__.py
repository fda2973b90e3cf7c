"""Tests of order schedules."""

from __future__ import annotations
