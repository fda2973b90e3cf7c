"""Tests of the sample files."""

from __future__ import annotations
