"""Tests of idempotency."""

from __future__ import annotations
