"""Tests of the execution package."""

from __future__ import annotations
