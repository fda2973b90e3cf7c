"""Tests of settings."""

from __future__ import annotations
