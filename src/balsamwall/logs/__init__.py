"""Structured log lines with a bounded volume."""

from __future__ import annotations
