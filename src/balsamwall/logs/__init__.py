"""Structured logging with a bounded volume."""

from __future__ import annotations
