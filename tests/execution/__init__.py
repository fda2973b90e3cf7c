"""Tests of execution."""

from __future__ import annotations
