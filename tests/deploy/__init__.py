"""Tests of the sample deployment files."""

from __future__ import annotations
