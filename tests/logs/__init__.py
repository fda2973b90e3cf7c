"""Tests of logs."""

from __future__ import annotations
