"""Tests of the idempotency package."""

from __future__ import annotations
